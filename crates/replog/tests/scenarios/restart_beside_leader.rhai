// The leader is suspended while it holds its lease, and all others are killed and
// restarted at once. They learn from each other that none of them leads, but the
// suspended leader doesn't answer: they have to wait until its lease has expired, or two
// leaders would act at the same time.
covers("restart_grace");
cluster(3, 4); run(3000);
let old = leader();
freeze(old);
for x in ["a", "b", "c"] { if x != old { kill(x); start(x); } }
run(400);
thaw(old);
run(20);
expect(leader() == "" || leader() == old, "a second leader within the lease of the first");
settle();
