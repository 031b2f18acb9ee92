// An instance is removed while it is partitioned. Unaware of it, the instance starts an
// election once the partition heals: the leader is not disturbed, the instance is
// notified, and it halts. Its next incarnation joins as a new replica.
covers("removed_never_elected"); covers("removed_halts");
cluster(5, 13); run(3000);
let x = follower(); isolate(x); run(1000);
let old = leader(); remove(old, x); run(1000);
expect(voters(old) == 4, "the removal did not take effect");
let term = term(old);
heal(); run(5000);
expect(halted(x) == 1, "the removed replica did not halt");
expect(leader() == old && term(old) == term, "the removed replica deposed the leader");
let y = follower();
if y == x { y = "e"; }
remove(old, y); run(1000);
expect(halted(y) == 1, "a removed follower did not halt");
settle();
expect(voters(leader()) == 5, "the new incarnations never became voters");
