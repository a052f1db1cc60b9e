-- The owner's host is lost while an order runs. Without a ticket neither its
-- resend nor a new order runs while that is in doubt.
post("order", "order 1")
pass(2)
assert(runs("order 1") == 1)
lose_owner()
assert(outcome("order") == "unknown")

post("resend", "order 1")
post("new", "order 2")
pass(20)
assert(outcome("resend") == "unknown")
assert(outcome("new") == "unknown")
assert(runs("order 1") == 1)
assert(runs("order 2") == 0)

get("lookup")
pass(20)
assert(outcome("lookup") == "answered")
post("new with ticket", "order 3", ticket("lookup"))
pass(20)
assert(outcome("new with ticket") == "answered")

-- Five minutes later a key without a ticket can't be one that was lost.
pass(300000)
post("later", "order 4")
pass(20)
assert(outcome("later") == "answered")
