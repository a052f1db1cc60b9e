-- A request kills each upstream that runs it and is sent again and again.
-- After three crashes it is refused; others are served, before and after.
for attempt = 1, 10 do
    poison("poison " .. attempt, "berth 13")
    get("lookup " .. attempt)
    pass(50)
end
assert(crashes() <= 3)
assert(outcome("poison 10") == "not_run")
assert(refusal("poison 10") == "quarantined")
assert(outcome("lookup 10") == "answered")

-- The next owner knows.
move_slice()
poison("poison elsewhere", "berth 13")
pass(20)
assert(refusal("poison elsewhere") == "quarantined")
assert(crashes() <= 3)
