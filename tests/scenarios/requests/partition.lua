-- The owner's link breaks after it has taken an order. The order's caller is
-- told that it may have run; resending the key never runs it again.
get("first")
pass(20)
assert(outcome("first") == "answered")

post("order", "order 1")
pass(2)
cut_owner()
assert(outcome("order") == "unknown")
depose_owner()

post("resend", "order 1")
pass(20)
assert(outcome("resend") == "unknown")
assert(refusal("resend") == "outcome_forgotten")
assert(runs("order 1") == 1)

-- A fresh ticket lets new orders run at once.
post("next order", "order 2", ticket("resend"))
pass(20)
assert(outcome("next order") == "answered")
assert(runs("order 2") == 1)
