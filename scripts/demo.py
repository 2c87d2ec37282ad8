"""Starts a small fleet, sends real requests through every daemon and counts.

Usage: demo.py BUILD
"""

import json
import sys

from fleet import Fleet, fetch

JSON_HEADERS = {"content-type": "application/json"}
CHATS_PER_DAEMON = 4
CALLS_PER_DAEMON = 2


def chat(address, text, stream):
    """Returns the answer's text, or None if it is not whole."""
    body = json.dumps({"model": "draft-1", "stream": stream, "max_tokens": 12,
                       "messages": [{"role": "user", "content": text}]})
    status, answer = fetch(address, "/v1/chat/completions", body,
                           headers=JSON_HEADERS, timeout=60)
    if status != 200:
        print(f"  {status}: {answer}")
        return None
    if not stream:
        return json.loads(answer)["choices"][0]["message"]["content"]
    if "data: [DONE]" not in answer:
        return None
    pieces = []
    for line in answer.splitlines():
        if line.startswith("data: {"):
            choices = json.loads(line[len("data: "):])["choices"]
            if choices:
                pieces.append(choices[0]["delta"].get("content") or "")
    return "".join(pieces)


def hold(daemons, index, date):
    """Places one hold through two daemons under one ticket."""
    status, body = fetch(daemons[index]["address"], "/v1/tickets", "{}",
                         headers=JSON_HEADERS)
    if status != 201:
        return []
    key = {"idempotency-key": json.loads(body)["ticket"], **JSON_HEADERS}
    call = json.dumps({"key": date})
    answers = []
    for step in range(2):
        daemon = daemons[(index + step) % len(daemons)]
        status, answer = fetch(daemon["address"], "/services/booking/holds",
                               call, headers=key)
        answers.append((status, answer))
    return answers


def main():
    fleet = Fleet(sys.argv[1])
    sent = answered = twice = 0
    try:
        fleet.start()
        for index, daemon in enumerate(fleet.daemons):
            for number in range(CHATS_PER_DAEMON):
                sent += 1
                text = f"summarise inquiry {index}-{number} for the planner"
                answer = chat(daemon["address"], text, number % 2 == 0)
                print(f"{daemon['name']} chat {number}: {answer}")
                answered += 1 if answer else 0
            for number in range(CALLS_PER_DAEMON):
                sent += 1
                date = f"2027-06-{index}{number}"
                answers = hold(fleet.daemons, index, date)
                print(f"{daemon['name']} hold {date}: {answers}")
                whole = len(answers) == 2 and answers[0] == answers[1] and \
                    answers[0][0] // 100 == 2
                answered += 1 if whole else 0
        for service in fleet.services:
            _, body = fetch(service["address"], "/admin/executions")
            runs = json.loads(body)
            print(f"{service['name']} ran: {runs}")
            twice += sum(1 for count in runs.values() if count > 1)
    finally:
        codes = fleet.stop()
    clean = all(code == 0 for code in codes)
    if not clean:
        print(f"exit codes of the daemons: {codes}")
    print(f"demo: {answered} answered, {sent - answered} lost, "
          f"{twice} answered twice")
    return 0 if answered == sent and twice == 0 and clean else 1


if __name__ == "__main__":
    sys.exit(main())
