-- A slice moves while orders are in flight: nothing is cut, and the new owner
-- gives the old answers again.
post("order", "order 1")
pass(2)
move_slice()
pass(20)
assert(outcome("order") == "answered")

post("resend", "order 1")
post("new", "order 2")
pass(20)
assert(outcome("resend") == "answered")
assert(outcome("new") == "answered")
assert(runs("order 1") == 1)
assert(runs("order 2") == 1)
