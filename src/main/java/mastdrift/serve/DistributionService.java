package mastdrift.serve;

import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import mastdrift.config.Configuration;
import mastdrift.config.DistributionSettings;
import mastdrift.config.ResourceRoutes;
import mastdrift.config.RouteChecks;
import mastdrift.config.SecretRef;
import mastdrift.distribution.Delta;
import mastdrift.distribution.Resource;
import mastdrift.distribution.ResourceKind;
import mastdrift.distribution.Revision;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.Subscription;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.files.StatusFile;
import mastdrift.routing.RouteTable;

/**
 * Provides a gateway with the routes that control machines distribute. It starts with its copy on disk at once, and
 * without a copy it waits for a snapshot. An update is compiled to a route table on the thread of the links, put in
 * force by one event of the gateway's event loop, and acknowledged after that. While no route resource exists, the
 * routes of the gateway's file are in force.
 *
 * <p>What is received may be outdated or wrong, and no guarantee depends on it. While no control machine can be
 * reached, the gateway continues with what it has and reports since when.
 */
final class DistributionService implements AutoCloseable {

    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final int MAX_POLLS_PER_STATUS = 10;  // the status is written at least every so many polls

    private final Events events;
    private final DistributionSettings settings;
    private final Executor gatewayLoop;
    private final Consumer<RouteTable> swapRoutes;
    private final StatusFile statusFile;  // null if no status file is configured
    private final ControlLinks links;
    private final Subscription subscription;
    private final ConfigCopy copy;
    private final ScheduledThreadPoolExecutor statusWriter = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("distribution-status", true));
    private final CountDownLatch ready = new CountDownLatch(1);
    private final ResourceRoutes routes;
    private volatile TreeSet<String> routedPools = new TreeSet<>();  // pools that the routes in force refer to
    private RouteTable fileRoutes;  // accessed on the gateway's event loop only, as is the next field
    private RouteTable distributedRoutes;  // null while no route resource exists
    private Revision revisionInForce;  // null until a revision is in force
    private String reportedProblem = "";
    private final IsolationTracker isolation = new IsolationTracker();
    private Instant isolatedSince;  // null while a control machine can be reached
    private String writtenStatus = "";
    private int unchangedPolls;

    /**
     * Reads the copy; to be called before the gateway serves, since it blocks on the disk. {@code gatewayLoop} runs the
     * change of routes on the gateway's event loop.
     */
    DistributionService(Path file, Configuration configuration, Function<SecretRef, byte[]> secrets, long seed, Executor gatewayLoop, Consumer<RouteTable> swapRoutes, Events events) {
        this.events = events;
        this.gatewayLoop = gatewayLoop;
        this.swapRoutes = swapRoutes;
        settings = configuration.distribution();
        statusFile = settings.statusFile() == null ? null : new StatusFile(file, settings.statusFile());
        routes = new ResourceRoutes(new RouteChecks(configuration.radiusListeners(), configuration.pools()));
        copy = new ConfigCopy(file.toAbsolutePath().resolveSibling(settings.folder()), settings.epoch(), events);
        Table initial = copy.initialTable();
        if (copy.exists()) {
            routes.applySnapshot(routesOf(initial));
            routedPools = new TreeSet<>(routes.referencedPools());
            distributedRoutes = tableOf(routes);
        }
        links = new ControlLinks("distribution", settings, settings.name(), secrets, new LinkListener(), events);
        subscription = new Subscription(links.loop(), links.transport(), settings.name(), settings.zone(), initial, SubscriberSettings.DEFAULTS, seed, events, this::applyTable);
        links.loop().execute(() -> {
            if (copy.exists()) {
                acknowledge(initial.revision(), routes.problem());
            }
            subscription.setMachines(ControlLinks.subscriptionMachines(settings.publishers()));
        });
        links.loop().scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private static List<Resource> routesOf(Table table) {
        List<Resource> all = new ArrayList<>(table.size(ResourceKind.ROUTE));
        table.forEach(ResourceKind.ROUTE, all::add);
        return all;
    }

    private static RouteTable tableOf(ResourceRoutes routes) {
        return routes.routes().isEmpty() ? null : routes.table();
    }

    /** Blocks until there are routes to serve by: returns at once if there was a copy. */
    void awaitReady() throws InterruptedException {
        if (ready.getCount() > 0) {
            events.event(Level.INFO, "config_waits", "waits for the configuration: no copy is there, and control machines are asked");
        }
        ready.await();
    }

    /**
     * The routes in force: those of route resources, or, if there are none, those of the gateway's file, which
     * {@code newFileRoutes} replaces. On the gateway's event loop.
     */
    RouteTable routesInForce(RouteTable newFileRoutes) {
        fileRoutes = newFileRoutes;
        return distributedRoutes == null ? fileRoutes : distributedRoutes;
    }

    /** The reasons not to accept a change of the gateway's file. */
    List<String> problems(Configuration next) {
        return routedPools.stream().filter(pool -> !next.pools().containsKey(pool))
                .map(pool -> "pool " + pool + ": expected it to stay while routes that are distributed name it, found it taken out; change those first").toList();
    }

    /** A changed gateway's file has been put in force. */
    void configure(Configuration next, Function<SecretRef, byte[]> secrets) {
        links.configure(next.distribution(), secrets);
        links.loop().execute(() -> {
            subscription.setMachines(ControlLinks.subscriptionMachines(next.distribution().publishers()));
            routes.setChecks(new RouteChecks(next.radiusListeners(), next.pools()));
            Table table = subscription.subscriber().table();
            if (revisionInForce != null) {
                activate(table.revision(), routes.applySnapshot(routesOf(table)));
            }
        });
    }

    // ---- updates from control machines

    private final class LinkListener implements ControlLinks.Listener {

        @Override
        public void received(String from, boolean reply, byte kind, byte[] message) {
            if (kind == ControlLinks.CONFIG_KIND && reply) {
                subscription.received(from, message);
            }
        }

        @Override
        public void outboundClosed(String to) {
            subscription.outboundClosed(to);
        }
    }

    private void applyTable(Table next, List<Delta> deltas) {
        copy.write(next, deltas);
        boolean changed = false;
        if (deltas.isEmpty()) {
            changed = routes.applySnapshot(routesOf(next));
        }
        for (Delta each : deltas) {
            changed |= routes.applyDelta(each);
        }
        activate(next.revision(), changed);
    }

    /**
     * Puts routes in force, if they have changed, by one event of the gateway's event loop, and acknowledges the
     * revision after that.
     */
    private void activate(Revision revision, boolean changed) {
        RouteTable next = changed ? tableOf(routes) : null;
        String problem = routes.problem();
        TreeSet<String> nextPools = changed ? new TreeSet<>(routes.referencedPools()) : routedPools;
        // set before the routes are in force, so that a change of the file that removes one of these pools meanwhile is
        // refused
        routedPools = nextPools;
        gatewayLoop.execute(() -> {
            if (changed) {
                distributedRoutes = next;
                swapRoutes.accept(next == null ? fileRoutes : next);
            }
            if (!links.loop().isShuttingDown()) {
                links.loop().execute(() -> acknowledge(revision, problem));
            }
        });
    }

    private void acknowledge(Revision revision, String problem) {
        if (problem == null) {
            subscription.tableApplied(revision);
        } else {
            if (!problem.equals(reportedProblem)) {
                events.event(Level.WARN, "config_refused", "revision " + revision.number() + " can't be put in force as a whole, the previous routes stay in force: " + problem, "number", revision.number());
            }
            subscription.tableRefused(revision, problem);
        }
        if (problem == null && !reportedProblem.isEmpty()) {
            events.event(Level.INFO, "config_taken", "nothing is held back any more, from revision " + revision.number() + " on", "number", revision.number());
        }
        reportedProblem = problem == null ? "" : problem;
        if (revisionInForce == null || !revisionInForce.equals(revision)) {
            events.event(Level.INFO, "config_in_force", "revision " + revision.number() + " of epoch " + revision.epoch() + " is in force, " + routes.routes().size() + " routes", "number",
                    revision.number(), "epoch", revision.epoch(), "routes", routes.routes().size());
        }
        revisionInForce = revision;
        ready.countDown();
    }

    // ---- status

    private void poll() {
        if (subscription.subscriber().ready() && revisionInForce == null && subscription.subscriber().table().revision().number() == 0) {
            // a control machine reports that there is no resource yet: serve with the routes of the file
            acknowledge(subscription.subscriber().table().revision(), null);
        }
        if (isolation.update(subscription.subscriber().disconnectedSince() != 0)) {
            isolatedSince = isolation.isolatedMillis() == 0 ? null
                    : Instant.now().minusMillis(isolation.isolatedMillis());
            if (isolatedSince != null) {
                events.event(Level.WARN, "config_alone", "no control machine is heard since " + isolatedSince + ": continuing with the routes in force");
            } else {
                events.event(Level.INFO, "config_alone_over", "a control machine is heard again: " + subscription.subscriber().currentMachine());
            }
        }
        if (statusFile != null && !statusWriter.isShutdown()) {
            Map<String, Object> statusFields = status();
            String statusText = statusFields.toString();
            if (!statusText.equals(writtenStatus) || ++unchangedPolls >= MAX_POLLS_PER_STATUS) {
                writtenStatus = statusText;
                unchangedPolls = 0;
                statusWriter.execute(() -> writeStatus(statusFields));
            }
        }
    }

    private Map<String, Object> status() {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("gateway", settings.name());
        Revision newest = subscription.subscriber().table().revision();
        fields.put("epoch", newest.epoch());
        fields.put("newest", newest.number());
        fields.put("in_force", revisionInForce == null ? null : revisionInForce.number());
        fields.put("held_back", reportedProblem);
        fields.put("routes", routes.routes().size());
        fields.put("copy", copy.writtenRevision());
        fields.put("machine", subscription.subscriber().currentMachine());
        fields.put("alone_since", isolatedSince == null ? null : isolatedSince.toString());
        return fields;
    }

    private void writeStatus(Map<String, Object> statusFields) {
        try {
            statusFields.put("at", Instant.now().toString());
            statusFile.write(statusFields);
        } catch (IOException e) {
            events.event(Level.ERROR, "status_unwritten", "status file of the distribution not written: " + e);
        }
    }

    /** Stops; changes of the copy that are queued are still written. */
    @Override
    public void close() {
        if (!links.loop().isShuttingDown()) {
            links.loop().submit(subscription::close).syncUninterruptibly();
        }
        links.close();
        statusWriter.shutdown();
        copy.close();
    }
}
