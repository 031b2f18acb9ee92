// All links of the leader come and go every few hundred milliseconds and some
// messages get lost. Changes go slowly and some end as unknown, but none that
// was accepted is lost, and all agree once the links are quiet.
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
