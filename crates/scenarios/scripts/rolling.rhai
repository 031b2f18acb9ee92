// A rolling restart of every process; control instances crash and restart from disk.
engine("e1", "za", false);
engine("e2", "za", true);
engine("e3", "zb", false);
entry("n1", "za");
entry("n2", "za");
entry("m1", "zb");
run(9000);
operate("one", 0);
for name in ["n1", "k1", "n2", "k2", "m1", "k3", "n1"] {
    if rand(2) == 0 && name != "k1" && name != "k2" && name != "k3" {
        renounce(name);
        run(1500 + rand(3000));
    }
    kill(name);
    run(200 + rand(6000));
    restart(name);
    run(3000 + rand(6000));
    operate("c-" + name + rand(1000), 0);
}
run(20000);
converged();
