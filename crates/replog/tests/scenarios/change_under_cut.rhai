// A change of members is proposed at a leader without a majority, and a second
// one right after it. Neither takes effect there: the other side elects a
// leader that has never seen them, and all agree when the cut heals.
covers("quorum_lost"); covers("one_change_at_a_time");
cluster(5, 14); run(3000);
let old = leader(); let lost = follower();
for x in ["a", "b", "c", "d", "e"] {
    if x != old && x != lost { for y in [old, lost] { cut(x, y); cut(y, x); } }
}
remove(old, lost); remove(old, old);
expect(voters(old) == 4, "two changes of members at a time");
run(5000);
expect(leader() != "" && leader() != old, "the majority elected nobody");
expect(voters(leader()) == 5, "a change without a majority took effect");
settle();
