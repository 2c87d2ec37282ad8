"""Keys of organisations for the fault soak: which keys configurations hold,
which requests use them, and whether servers run a request whose key had been
withdrawn too long before it was sent.
"""

import time

REVOKE_S = 5.0  # a withdrawn key works at no daemon for longer
APPLY_S = 4.0  # within which daemons in touch know a new key
ORGANISATIONS = ("alpha", "beta", "gamma")
KEYS = 6
OLD_KEYS = 4  # withdrawn ones that clients still try


class Keys:
    def __init__(self, world):
        self.world = world
        self.random = world.random
        self.holders = {}  # key: organisation, of all keys ever
        self.held = {}  # key: time at which it was published
        self.withdrawn = {}  # key: time at which its end was acknowledged
        self.uses = {}  # request id: (key, time at which it was sent)
        self.checked = {"valid": 0, "withdrawn": 0}
        for _ in range(KEYS):
            self._add()

    def _add(self):
        key = f"k{self.random.randrange(1 << 60):015x}"
        self.holders[key] = self.random.choice(ORGANISATIONS)
        self.held[key] = time.monotonic()

    def change(self):
        """Replaces a key in later configurations, and returns it."""
        key = self.random.choice(list(self.held))
        del self.held[key]
        self._add()
        return key

    def on_acknowledged(self, key):
        self.withdrawn[key] = time.monotonic()

    def tenants(self):
        return [{"name": name, "api-keys": [
            k for k in self.held if self.holders[k] == name]}
                for name in ORGANISATIONS]

    def use(self, request_id):
        """Returns the header field of a request that is sent now."""
        now = time.monotonic()
        old = list(self.withdrawn)[-OLD_KEYS:]
        new = [k for k, at in self.held.items() if now > at + APPLY_S]
        choices = old if old and (not new or self.random.random() < 0.3) \
            else new or list(self.held)
        key = self.random.choice(choices)
        self.uses[request_id] = (key, now)
        return f"Authorization: Bearer {key}"

    def check_run(self, request_id, fields):
        key, sent_at = self.uses.get(request_id, ("", 0.0))
        if fields.get("x-shallotford-tenant") != self.holders.get(key) or \
                "authorization" in fields:
            self.world.problem("UNASKED", f"{request_id} of another tenant")
        late = sent_at - self.withdrawn.get(key, sent_at)
        self.checked["withdrawn" if late > 0 else "valid"] += 1
        if late > REVOKE_S:
            self.world.problem("CONFIG", f"{request_id} was sent {late:.2f} s "
                               "after its key was withdrawn, and ran")

    def may_refuse(self, request_id):
        """Returns whether 401 is an answer to a request."""
        key, sent_at = self.uses.get(request_id, ("", 0.0))
        return key in self.withdrawn or \
            sent_at < self.held.get(key, sent_at) + APPLY_S
