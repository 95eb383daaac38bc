"""Embed the fair queue: two accounts share an engine with one slot by their weights."""

from merlinthread.coordination import fair_queue

TOKENS = 20


def main() -> None:
    """Run the example."""
    queue = fair_queue.FairQueue(slots=1, waiting_max=1000)
    queue.set_weights({"publisher": 3.0, "school": 1.0})
    for number in range(400):
        account = "publisher" if number % 2 else "school"
        queue.add(fair_queue.QueuedRequest(f"t{number}", account, 1, 0, TOKENS, arrived_at=0.0))
    served = {"publisher": 0, "school": 0}
    for _ in range(200):
        request = queue.start_next()
        assert request is not None
        queue.charge(request.id, TOKENS)
        queue.finish(request.id)
        served[request.account] += TOKENS
    print(f"tokens served: {served}")
    assert served == {"publisher": 3000, "school": 1000}


if __name__ == "__main__":
    main()
