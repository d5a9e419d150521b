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
import mastdrift.membership.ChangeGuards;
import mastdrift.membership.ChangeGuards.Violation;
import mastdrift.membership.ListedHost;
import mastdrift.membership.Membership;
import mastdrift.membership.Node;
import mastdrift.membership.Overrides;
import mastdrift.membership.PoolList;

/**
 * Owns the configuration in force: the settings, the membership of the pools, and the overrides that were used. It runs
 * on a thread of its own, so that merging ten thousand nodes delays no request; each result is passed to the event loop
 * as one event. The 250 ms grace of a drain counts from the moment at which the gateway was told, not from that event.
 */
final class Control implements AutoCloseable {

    private static final long RESULT_TIMEOUT_SECONDS = 30;

    /** Puts results in force; called in order on the control thread. */
    interface Listener {
        /** A whole configuration was accepted; {@code changed} has the host lists that it changed. */
        void configured(Configuration configuration, Map<String, PoolList> changed);

        /** Host lists were changed by another source, or because a deadline passed. */
        void listsChanged(Map<String, PoolList> changed);

        /** An entry that was reported for a pool is left out of its list; {@code line} says which and why. */
        void leftOut(String pool, String line);
    }

    /** What discovery has reported for one pool and the control thread has not merged yet. */
    private static final class PendingUpdate {
        private boolean isFull;
        private boolean mergeScheduled;
        private final Map<String, Node> nodes = new HashMap<>();
    }

    private final ScheduledThreadPoolExecutor executor;
    private final Listener listener;
    private final LongSupplier clock;
    private final Overrides overrides = new Overrides();
    private final Map<String, PendingUpdate> pendingUpdates = new HashMap<>();
    private Configuration inForce;
    private final Membership membership = new Membership();
    private Map<String, String> versions = Map.of();
    private Map<String, List<String>> reportedLeftOut = new TreeMap<>();
    private ScheduledFuture<?> dueTask;

    Control(Listener listener, LongSupplier clock) {
        this.listener = listener;
        this.clock = clock;
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread controlThread = new Thread(task, "control");
            controlThread.setDaemon(true);
            return controlThread;
        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
    }

    /**
     * Validates a whole configuration and puts it in force. Returns the problems; an empty list if it was accepted.
     * Blocks.
     */
    List<String> offer(Configuration next) {
        try {
            return executor.submit(() -> validateAndApply(next)).get(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return List.of("interrupted while the configuration was validated");
        } catch (ExecutionException | TimeoutException e) {
            return List.of("internal error while the configuration was validated: "
                    + (e.getCause() == null ? e : e.getCause()));
        }
    }

    private List<String> validateAndApply(Configuration next) {
        List<String> problems = new ArrayList<>(ConfigDiff.startOnlyProblems(inForce, next));
        if (!problems.isEmpty()) {
            return problems;
        }
        long now = clock.getAsLong();
        List<Violation> trips = guardTrips(inForce, next, inForce == null ? null : membership.lists(),
                membership.preview(now, next.configuredNodes()));
        List<Violation> unresolved = overrides.remainingViolations(trips, next.overrides(), versions);
        if (!unresolved.isEmpty()) {
            return unresolved.stream().map(trip -> ConfigDiff.guardRefusal(trip, versions)).toList();
        }
        overrides.markUsed(trips, versions);
        Map<String, PoolList> changed = membership.applyFiles(now, next.configuredNodes());
        inForce = next;
        versions = next.nodeListVersions();
        synchronized (pendingUpdates) {
            pendingUpdates.keySet().retainAll(next.pools().keySet());
        }
        listener.configured(next, changed);
        reportLeftOut(changed);
        scheduleDue();
        return List.of();
    }

    /** The guards that a change trips, also for pools that it removes; {@code before} is null when a gateway starts. */
    static List<Violation> guardTrips(Configuration inForce, Configuration next, Map<String, PoolList> before,
            Map<String, PoolList> after) {
        List<Violation> trips = new ArrayList<>();
        after.forEach((pool, list) -> trips.addAll(ChangeGuards.findViolations(next.pools().get(pool).guards(),
                before == null ? null : before.get(pool), list)));
        if (before != null) {
            before.forEach((pool, list) -> {
                if (!after.containsKey(pool)) {
                    trips.addAll(ChangeGuards.findViolations(inForce.pools().get(pool).guards(), list, PoolList.empty(pool)));
                }
            });
        }
        return trips;
    }

    // ---- other sources

    /**
     * Discovery has reported nodes of a pool; with {@code isFull} they replace what it reported before. Called on the
     * event loop, never blocks.
     */
    void discoveryUpdated(String pool, boolean isFull, List<Node> nodes) {
        synchronized (pendingUpdates) {
            PendingUpdate pending = pendingUpdates.computeIfAbsent(pool, p -> new PendingUpdate());
            if (isFull) {
                pending.nodes.clear();
                pending.isFull = true;
            }
            nodes.forEach(node -> pending.nodes.put(node.uid(), node));
            if (!pending.mergeScheduled) {
                pending.mergeScheduled = true;
                executor.execute(() -> merge(pool, pending));
            }
        }
    }

    private void merge(String pool, PendingUpdate pending) {
        boolean isFull;
        List<Node> nodes;
        synchronized (pendingUpdates) {
            isFull = pending.isFull;
            nodes = List.copyOf(pending.nodes.values());
            pending.nodes.clear();
            pending.isFull = false;
            pending.mergeScheduled = false;
        }
        publishLists(membership.applyReport(clock.getAsLong(), pool, "discovery", isFull, nodes));
    }

    /** Discovery of a pool has become unavailable. Called on the event loop. */
    void discoveryFailed(String pool) {
        executor.execute(() -> membership.markStale(pool, "discovery"));
    }

    private void publishLists(Map<String, PoolList> changed) {
        if (!changed.isEmpty()) {
            listener.listsChanged(changed);
            reportLeftOut(changed);
        }
        scheduleDue();
    }

    private void scheduleDue() {
        if (dueTask != null) {
            dueTask.cancel(false);
        }
        long dueAtMicros = membership.nextReleaseAt();
        dueTask = dueAtMicros == Long.MAX_VALUE ? null : executor.schedule(() -> {
            publishLists(membership.releaseHeld(clock.getAsLong()));
        }, Math.max(1, dueAtMicros - clock.getAsLong()), TimeUnit.MICROSECONDS);
    }

    /** Reports entries that were left out of a list, once until they change. */
    private void reportLeftOut(Map<String, PoolList> changed) {
        changed.forEach((pool, list) -> {
            if (!list.omissions().equals(reportedLeftOut.getOrDefault(pool, List.of()))) {
                list.omissions().forEach(line -> listener.leftOut(pool, line));
            }
            reportedLeftOut.put(pool, list.omissions());
        });
    }

    /** The pools in force, for the status file. Blocks. */
    Map<String, Object> status() {
        try {
            return executor.submit(this::poolStatus).get(RESULT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.of();
        } catch (ExecutionException | TimeoutException e) {
            return Map.of("fault", String.valueOf(e.getCause()));
        }
    }

    private Map<String, Object> poolStatus() {
        Map<String, Object> pools = new TreeMap<>();
        membership.lists().forEach((name, list) -> pools.put(name, new TreeMap<>(Map.of("version", versions.get(name),
                "hosts", list.hosts().size(),
                "taking", (int) list.hosts().stream().filter(ListedHost::acceptsNewRequests).count()))));
        return pools;
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }
}
