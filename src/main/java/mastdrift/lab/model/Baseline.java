package mastdrift.lab.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import mastdrift.Balancer;
import mastdrift.lab.model.Policy.Breaks;

/** The plain policies that the module is compared with: one or the better of two nodes drawn evenly, another try where the
    rules allow one, no refusals but where nobody is up. */
final class Baseline implements Balancer {

    private static final class Server {
        private Host host;
        private int out;
    }

    private static final class Open {
        private final Request request;
        private final RequestClass type;
        private final long ends;
        private final List<Server> sent = new ArrayList<>(1);
        private final List<Long> sentAt = new ArrayList<>(1);
        private boolean mayHaveRun;

        Open(Request request, RequestClass type, long ends) {
            this.request = request;
            this.type = type;
            this.ends = ends;
        }
    }

    private final int choices;
    private final Breaks breaks;
    private final Map<String, RequestClass> classes = new HashMap<>();
    private final Map<String, Server> servers = new LinkedHashMap<>();
    private final List<Server> up = new ArrayList<>();
    private final Map<Long, Open> open = new HashMap<>();
    private SplittableRandom random;
    private Settings settings;
    private Actions actions;

    Baseline(int choices, Breaks breaks) {
        this.choices = choices;
        this.breaks = breaks;
    }

    @Override
    public void start(long now, Settings given, Actions asked) {
        settings = given;
        actions = asked;
        random = new SplittableRandom(given.seed());
        given.classes().forEach(type -> classes.put(type.name(), type));
    }

    @Override
    public void hosts(long now, ListForm form, List<Host> hosts) {
        if (form == ListForm.FAILED) {
            return;
        }
        if (form != ListForm.DELTA) {
            servers.keySet().retainAll(hosts.stream().map(Host::address).collect(java.util.stream.Collectors.toSet()));
        }
        for (Host host : hosts) {
            if (host.health() == Health.GONE && breaks != Breaks.DRAIN) {
                servers.remove(host.address());
            } else {
                servers.computeIfAbsent(host.address(), address -> new Server()).host = host;
            }
        }
        up.clear();
        servers.values().stream().filter(server -> breaks == Breaks.DRAIN || server.host.health() == Health.UP).forEach(up::add);
    }

    @Override
    public void request(long now, Request request) {
        Open taken = new Open(request, classes.get(request.className()), now + request.left());
        open.put(request.id(), taken);
        send(now, taken);
    }

    private void send(long now, Open taken) {
        Server best = null;
        for (int i = 0; i < choices && !up.isEmpty(); i++) {
            Server drawn = up.get(random.nextInt(up.size()));
            best = best == null || drawn.out < best.out ? drawn : best;
        }
        if (best == null || taken.ends <= now || taken.sent.size() >= settings.limits().maxAttempts() || !mayGo(now, taken, best)) {
            end(taken);
            return;
        }
        best.out++;
        taken.sent.add(best);
        taken.sentAt.add(now);
        actions.send(taken.request.id(), best.host.address(), taken.ends - now, taken.ends - now);
    }

    private boolean mayGo(long now, Open taken, Server to) {
        if (!taken.mayHaveRun || taken.type.repeat() == Repeat.SAFE || breaks == Breaks.GROUP) {
            return true;
        }
        Host first = taken.sent.get(0).host;
        return taken.type.repeat() == Repeat.KEYED && now - taken.sentAt.get(0) < taken.type.dedupWindow()
                && switch (taken.type.group()) {
                    case ALL -> true;
                    case ZONE -> first.zone().equals(to.host.zone());
                    case CELL -> first.zone().equals(to.host.zone()) && first.cell() == to.host.cell();
                };
    }

    private void end(Open taken) {
        open.remove(taken.request.id());
        if (!taken.mayHaveRun || taken.type.repeat() == Repeat.SAFE) {
            actions.refuse(taken.request.id(), 0, Why.HOSTS);
        } else {
            actions.fail(taken.request.id());
        }
    }

    @Override
    public void resolved(long now, long id, int attempt, String address, Outcome outcome, long elapsed, boolean over,
            LoadReport report) {
        Open taken = open.get(id);
        Server server = taken == null ? servers.get(address) : taken.sent.get(attempt);
        if (server != null) {
            server.out = Math.max(0, server.out - 1);
        }
        if (taken == null) {
            return;
        }
        taken.mayHaveRun |= !outcome.neverRan();
        if (over) {
            open.remove(id);
        } else {
            send(now, taken);
        }
    }

    @Override
    public void streaming(long now, long id, int attempt) { }

    @Override
    public void departed(long now, long id) {
        Open taken = open.remove(id);
        if (taken != null) {
            actions.cancel(id, taken.sent.size() - 1);
        }
    }

    @Override
    public void probed(long now, String address, Outcome outcome, long elapsed, LoadReport report) { }

    @Override
    public void timer(long now, String handle) { }
}
