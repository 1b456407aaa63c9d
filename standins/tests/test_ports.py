from standins.deployment import PORTS_PER_BLOCK, PortBlock


def test_two_runs_search_separate_ports():
    blocks = [PortBlock.claim() for _ in range(2)]
    assert abs(blocks[0].first - blocks[1].first) >= PORTS_PER_BLOCK
    for block in blocks:
        block.release()
