// A leader's process is frozen for seconds while it has proposals on their way
// and then goes on as if nothing had been. The others have elected a new one
// meanwhile. The first thing it finds is that its lease is over, so nothing is
// answered or ordered under the old term.
covers("lease_lapsed");
cluster(3, 2); run(3000);
let old = leader();
propose(old, 5);
freeze(old); run(5000);
expect(leader() != "" && leader() != old, "no new leader");
expect(!leads(old), "a frozen leader would act when thawed");
thaw(old);
propose(old); run(10);
expect(accepted() == 0, "the thawed leader accepted something");
settle();
