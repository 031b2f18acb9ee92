// The leader's disk fills up. It rejects changes, transfers leadership to an instance
// with space, and continues as a follower. With all disks full, changes are rejected
// everywhere and the leader stays; with space, they are accepted again.
covers("refused_when_full"); covers("handed_over");
cluster(3, 11); run(3000);
let x = leader();
fill(x, true); propose(x); run(2000);
expect(refused() == 1, "a proposal was accepted with a full disk");
expect(leader() != "" && leader() != x, "leadership was not transferred from a full disk");
for y in ["a", "b", "c"] { fill(y, true); }
run(5000);
expect(leader() != "", "no leader while the disks are full");
propose(leader()); run(500);
expect(accepted() == 0 && refused() == 2, "a proposal was accepted with a full disk");
settle();
