// Random faults of all kinds, also several at once and repeatedly.
for z in ["za", "zb"] {
    engine(z + "-e1", z, rand(2) == 0);
    engine(z + "-e2", z, rand(2) == 0);
    entry(z + "-n1", z);
    if rand(2) == 0 { entry(z + "-n2", z); }
}
entry("za-n3", "za");
run(8000);
let dead = [];
for i in 0..50 {
    let what = rand(14);
    if what == 0 { cut_zone(if rand(2) == 0 { "za" } else { "zb" }); }
    if what == 1 { cut(any("entry"), any("keeper")); }
    if what == 2 { cut_one(any("entry"), any("entry")); }
    if what == 3 { cut_one(any("keeper"), any("keeper")); }
    if what == 4 { freeze(any("entry"), rand(15000)); }
    if what == 5 { freeze(any("keeper"), rand(5000)); }
    if what == 6 { let n = any("entry"); if n != "" { kill(n); dead.push(n); } }
    if what == 7 { let n = any("entry"); if n != "" { renounce(n); run(rand(4000)); kill(n); dead.push(n); } }
    if what == 8 { let k = any("keeper"); kill(k); run(rand(4000)); restart(k); }
    if what == 9 { let l = leader(); if l != "" { hand_over(l); } }
    if what == 10 { restart(any("engine")); }
    if what == 11 { cut(any("entry"), "*"); }
    if what == 12 { entry("new" + i, if rand(2) == 0 { "za" } else { "zb" }); }
    if what == 13 { operate("c" + i, 0); }
    run(rand(6000));
    if dead.len() > 0 && rand(2) == 0 { restart(dead.shift()); }
    if rand(3) == 0 { heal(); }
}
heal();
thaw();
for n in dead { restart(n); }
run(90000);
converged();
