package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.List;
import mastdrift.Balancer.Health;
import mastdrift.Balancer.Host;
import mastdrift.Balancer.ListForm;
import org.apache.commons.rng.UniformRandomProvider;

/** The list of nodes as gateways are told it: late, each gateway at its own time, some changes twice, some not before the next
    whole list. */
final class ModelLists {

    private final VirtualTime time;
    private final Scenario.Site site;
    private final Watch watch;
    private final List<ModelGateway> gateways;
    private final UniformRandomProvider random;
    private final Host[] listed;
    private final long[] lastAt;
    private boolean down;

    ModelLists(VirtualTime time, Scenario.Site site, Watch watch, List<ModelGateway> gateways, Host[] listed,
            UniformRandomProvider random) {
        this.time = time;
        this.site = site;
        this.watch = watch;
        this.gateways = gateways;
        this.listed = listed;
        this.random = random;
        lastAt = new long[gateways.size()];
        if (site.listEvery() > 0) {
            time.after(site.listEvery(), this::whole);
        }
    }

    /** All nodes that are not gone. */
    List<Host> all() {
        List<Host> all = new ArrayList<>(listed.length);
        for (Host host : listed) {
            if (host.health() != Health.GONE) {
                all.add(host);
            }
        }
        return List.copyOf(all);
    }

    /** The list says another thing of nodes. */
    void change(List<ModelNode> nodes, Health health) {
        List<Host> changes = new ArrayList<>(nodes.size());
        for (ModelNode node : nodes) {
            Host host = listed[node.index()];
            listed[node.index()] = new Host(host.address(), host.zone(), host.cell(), host.kind(), host.weight(), health,
                    node.born());
            changes.add(listed[node.index()]);
        }
        tell(ListForm.DELTA, List.copyOf(changes));
    }

    /** Nobody is told anything any more, or everybody the whole list again. */
    void down(boolean on) {
        down = on;
        if (!on) {
            tell(ListForm.FULL, all());
        }
    }

    private void whole() {
        tell(ListForm.FULL, all());
        time.after(site.listEvery(), this::whole);
    }

    private void tell(ListForm form, List<Host> hosts) {
        for (ModelGateway gateway : gateways) {
            boolean missed = random.nextDouble() < site.listMissed();
            boolean doubled = random.nextDouble() < site.listDoubled();
            long delay = site.listDelay() + (site.listSpread() > 0 ? random.nextLong(site.listSpread() + 1) : 0);
            if (down || missed && form == ListForm.DELTA) {
                continue;
            }
            deliver(gateway, form, hosts, delay);
            if (doubled) {
                deliver(gateway, form, hosts, 2 * delay);
            }
        }
    }

    /** In the order in which it was said. */
    private void deliver(ModelGateway gateway, ListForm form, List<Host> hosts, long delay) {
        int number = gateway.number();
        lastAt[number] = Math.max(lastAt[number], time.now() + delay);
        time.after(lastAt[number] - time.now(), () -> {
            if (gateway.up()) {
                told(gateway, form, hosts);
            }
        });
    }

    /** A gateway hears it now. */
    void told(ModelGateway gateway, ListForm form, List<Host> hosts) {
        if (form != ListForm.DELTA) {
            boolean[] named = new boolean[listed.length];
            hosts.forEach(host -> named[gateway.index(host.address())] = true);
            for (int i = 0; i < named.length; i++) {
                if (!named[i]) {
                    watch.told(gateway.number(), i, false, 0);
                }
            }
        }
        hosts.forEach(host -> watch.told(gateway.number(), gateway.index(host.address()), host.health() == Health.UP,
                host.born()));
        gateway.told(form, hosts);
    }
}
