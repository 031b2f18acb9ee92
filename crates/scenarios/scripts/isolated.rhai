// An owner is partitioned for minutes from the leader and the other instances of its
// zone, but not from its engines, and still takes itself for the owner.
engine("e1", "za", true);
engine("e2", "za", false);
entry("n1", "za");
entry("n2", "za");
run(10000);
for e in ["e1", "e2"] {
    let old = owner(e);
    let other = if old == "n1" { "n2" } else { "n1" };
    cut(old, "k1"); cut(old, "k2"); cut(old, "k3"); cut(old, other);
    run(60000 + rand(60000));
    expect(owner(e) == other, e + " did not move to " + other);
    heal();
    run(20000);
    expect(owner(e) != "", e + " has no owner after the cut");
}
run(10000);
converged();
