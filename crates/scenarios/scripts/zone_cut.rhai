// A zone with two instances and one with a single instance are partitioned; each keeps
// the ownership of its engines. Once the partition heals all instances agree, and no
// engine is without an owner.
engine("e1", "za", false);
engine("e2", "za", true);
engine("e3", "zb", false);
entry("n1", "za");
entry("n2", "za");
entry("m1", "zb");
run(10000);
for i in 0..3 {
    let zone = if rand(2) == 0 { "za" } else { "zb" };
    cut_zone(zone);
    if rand(3) == 0 { cut_zone(if zone == "za" { "zb" } else { "za" }); }
    let old = [owner("e1"), owner("e2"), owner("e3")];
    run(20000 + rand(60000));
    // An engine may have been between two owners when the partition began.
    let now = [owner("e1"), owner("e2"), owner("e3")];
    for e in 0..3 {
        expect(old[e] == "" || now[e] == old[e], "an owner gave up in a cut zone");
    }
    heal();
    run(3000 + rand(3000));
    expect(owner("e1") != "" && owner("e3") != "", "an engine lost its owner by the heal");
}
// With the other instance of the zone crashed, the lease cannot be confirmed: ownership
// is restricted.
cut_zone("za");
run(4000);
let stays = owner("e1");
kill(if stays == "n1" { "n2" } else { "n1" });
run(15000);
expect(own(stays, "e1") == "restricted", "in charge without its mate's word: " + own(stays, "e1"));
heal();
run(15000);
converged();
