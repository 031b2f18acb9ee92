// Two membership changes are proposed in a row at a leader without a quorum. Neither
// takes effect: the other side of the partition elects a leader that has never received
// them, and all replicas agree once the partition heals.
covers("quorum_lost"); covers("one_change_at_a_time");
cluster(5, 14); run(3000);
let old = leader(); let lost = follower();
for x in ["a", "b", "c", "d", "e"] {
    if x != old && x != lost { for y in [old, lost] { cut(x, y); cut(y, x); } }
}
remove(old, lost); remove(old, old);
expect(voters(old) == 4, "two membership changes were in progress at once");
run(5000);
expect(leader() != "" && leader() != old, "the majority elected no leader");
expect(voters(leader()) == 5, "a change without a majority took effect");
settle();
