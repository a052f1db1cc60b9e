-- The owner freezes with an order in its inbox, is deposed, and wakes as if
-- nothing had happened: its lease has run out, and the order doesn't run.
freeze_owner()
post("order", "order 1")
pass(2)
depose_owner()
settle()
assert(outcome("order") == "unknown")
assert(runs("order 1") == 0)

get("lookup")
pass(20)
assert(outcome("lookup") == "answered")
