// All links of the leader fail and recover every few hundred milliseconds, and some
// messages are lost. Changes are slow and some have an unknown outcome, but no accepted
// one is lost, and all replicas agree once the links are stable.
cluster(3, 5); run(3000);
for round in 0..20 {
    let x = leader();
    if x != "" { propose(x, 3); isolate(x); }
    loss(200);
    run(300 + round * 40);
    heal(); run(250);
}
run(2000);
expect(accepted() > 0, "nothing was accepted between the cuts");
settle();
