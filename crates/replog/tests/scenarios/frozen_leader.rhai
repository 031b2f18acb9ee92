// A leader's process is suspended for seconds with proposals in flight and then resumes.
// Meanwhile the others have elected a new leader. The resumed one first finds that its
// lease has expired, so it answers and orders nothing under the old term.
covers("lease_lapsed");
cluster(3, 2); run(3000);
let old = leader();
propose(old, 5);
freeze(old); run(5000);
expect(leader() != "" && leader() != old, "no new leader");
expect(!leads(old), "a suspended leader still holds its lease when resumed");
thaw(old);
propose(old); run(10);
expect(accepted() == 0, "the resumed leader accepted a change");
settle();
