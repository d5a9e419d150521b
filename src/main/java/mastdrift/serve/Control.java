package mastdrift.serve;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.LongSupplier;
import mastdrift.config.Configuration;
import mastdrift.membership.Guards;
import mastdrift.membership.Guards.Trip;
import mastdrift.membership.Listed;
import mastdrift.membership.Membership;
import mastdrift.membership.Node;
import mastdrift.membership.Overrides;
import mastdrift.membership.PoolList;

/**
 * Owns what is in force: the configuration, the membership and the overrides that were used. On a thread of its own, so that
 * merging ten thousand nodes holds up no request; what comes of it goes to the loop as one event. The 250 ms of a drain
 * count from the moment at which the gateway was told, not from that event.
 */
final class Control implements AutoCloseable {

    private static final long VERDICT_SECONDS = 30;

    /** Puts things in force; called on the control thread, in order. */
    interface Loop {
        /** A whole configuration, with the lists that changed by it. */
        void configured(Configuration configuration, Map<String, PoolList> changed);

        /** Lists that changed by another source, or by time. */
        void listed(Map<String, PoolList> changed);

        /** What a list was told and does not hold, and why. */
        void leftOut(String pool, String line);
    }

    /** What discovery has told since the control thread last looked; one a pool. */
    private static final class Told {
        private boolean all;
        private boolean waiting;
        private final Map<String, Node> nodes = new HashMap<>();
    }

    private final ScheduledThreadPoolExecutor thread;
    private final Loop loop;
    private final LongSupplier clock;
    private final Overrides overrides = new Overrides();
    private final Map<String, Told> told = new HashMap<>();
    private Configuration inForce;
    private final Membership membership = new Membership();
    private Map<String, String> versions = Map.of();
    private Map<String, List<String>> leftOut = new TreeMap<>();
    private ScheduledFuture<?> due;

    Control(Loop loop, LongSupplier clock) {
        this.loop = loop;
        this.clock = clock;
        thread = new ScheduledThreadPoolExecutor(1, task -> {
            Thread made = new Thread(task, "control");
            made.setDaemon(true);
            return made;
        });
        thread.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /** Judges a whole configuration and puts it in force; returns why not, nothing where it was taken. Waits. */
    List<String> offer(Configuration next) {
        try {
            return thread.submit(() -> judge(next)).get(VERDICT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted while it was judged");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("fault while it was judged: " + (e.getCause() == null ? e : e.getCause()));
        }
    }

    private List<String> judge(Configuration next) {
        List<String> problems = new ArrayList<>(Changes.boundAtStart(inForce, next));
        if (!problems.isEmpty()) {
            return problems;
        }
        long now = clock.getAsLong();
        List<Trip> trips = trips(inForce, next, inForce == null ? null : membership.lists(),
                membership.preview(now, next.configuredNodes()));
        List<Trip> left = overrides.left(trips, next.overrides(), versions);
        if (!left.isEmpty()) {
            return left.stream().map(trip -> Changes.refusal(trip, versions)).toList();
        }
        overrides.use(trips, versions);
        Map<String, PoolList> changed = membership.files(now, next.configuredNodes());
        inForce = next;
        versions = next.nodeListVersions();
        synchronized (told) {
            told.keySet().retainAll(next.pools().keySet());
        }
        loop.configured(next, changed);
        complain(changed);
        schedule();
        return List.of();
    }

    /** The guards that a change trips, also for pools that it takes out; {@code before} is null at a start. */
    static List<Trip> trips(Configuration inForce, Configuration next, Map<String, PoolList> before,
            Map<String, PoolList> after) {
        List<Trip> trips = new ArrayList<>();
        after.forEach((pool, list) -> trips.addAll(Guards.trips(next.pools().get(pool).guards(),
                before == null ? null : before.get(pool), list)));
        if (before != null) {
            before.forEach((pool, list) -> {
                if (!after.containsKey(pool)) {
                    trips.addAll(Guards.trips(inForce.pools().get(pool).guards(), list, PoolList.empty(pool)));
                }
            });
        }
        return trips;
    }

    // ---- other sources

    /** Discovery told nodes of a pool; from the loop, and never waits. */
    void told(String pool, boolean all, List<Node> nodes) {
        synchronized (told) {
            Told pending = told.computeIfAbsent(pool, p -> new Told());
            if (all) {
                pending.nodes.clear();
                pending.all = true;
            }
            nodes.forEach(node -> pending.nodes.put(node.uid(), node));
            if (!pending.waiting) {
                pending.waiting = true;
                thread.execute(() -> merge(pool, pending));
            }
        }
    }

    private void merge(String pool, Told pending) {
        boolean all;
        List<Node> nodes;
        synchronized (told) {
            all = pending.all;
            nodes = List.copyOf(pending.nodes.values());
            pending.nodes.clear();
            pending.all = false;
            pending.waiting = false;
        }
        put(membership.told(clock.getAsLong(), pool, "discovery", all, nodes));
    }

    /** Discovery of a pool has fallen silent; from the loop. */
    void silent(String pool) {
        thread.execute(() -> membership.silent(pool, "discovery"));
    }

    private void put(Map<String, PoolList> changed) {
        if (!changed.isEmpty()) {
            loop.listed(changed);
            complain(changed);
        }
        schedule();
    }

    private void schedule() {
        if (due != null) {
            due.cancel(false);
        }
        long at = membership.dueAt();
        due = at == Long.MAX_VALUE ? null : thread.schedule(() -> {
            put(membership.due(clock.getAsLong()));
        }, Math.max(1, at - clock.getAsLong()), TimeUnit.MICROSECONDS);
    }

    /** Says what was left out, once for as long as it stays the same. */
    private void complain(Map<String, PoolList> changed) {
        changed.forEach((pool, list) -> {
            if (!list.leftOut().equals(leftOut.getOrDefault(pool, List.of()))) {
                list.leftOut().forEach(line -> loop.leftOut(pool, line));
            }
            leftOut.put(pool, list.leftOut());
        });
    }

    /** What is in force, for the status file. Waits. */
    Map<String, Object> status() {
        try {
            return thread.submit(this::inForce).get(VERDICT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.of();
        } catch (ExecutionException | TimeoutException e) {
            return Map.of("fault", String.valueOf(e.getCause()));
        }
    }

    private Map<String, Object> inForce() {
        Map<String, Object> pools = new TreeMap<>();
        membership.lists().forEach((name, list) -> pools.put(name, new TreeMap<>(Map.of("version", versions.get(name),
                "hosts", list.hosts().size(),
                "taking", (int) list.hosts().stream().filter(Listed::takesNew).count()))));
        return pools;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
