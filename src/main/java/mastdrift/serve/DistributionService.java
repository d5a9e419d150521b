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
 * Routes of a gateway from the control machines. It starts by its copy at once, and with none it waits for a snapshot; what comes is made a table of routes on a thread of its own, put in force by
 * one event of the gateway's loop, and acknowledged after that. Where resources have no route at all, those of the file are in force.
 *
 * <p>It is a view: no rule rests on it. With all control machines away the gateway serves on by what it has, and says since when.
 */
final class DistributionService implements AutoCloseable {

    private static final long POLL_MILLIS = 500;
    private static final int STATUS_ANYWAY = 10;  // polls at which nothing has changed

    private final Events events;
    private final DistributionSettings settings;
    private final Executor gateway;
    private final Consumer<RouteTable> swap;
    private final StatusFile status;  // null for nowhere
    private final ControlLinks links;
    private final Subscription subscription;
    private final ConfigCopy copy;
    private final ScheduledThreadPoolExecutor writer = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("distribution-status", true));
    private final CountDownLatch ready = new CountDownLatch(1);
    private final ResourceRoutes routes;
    private volatile TreeSet<String> pools = new TreeSet<>();  // that routes in force name
    private RouteTable fromFile;  // on the gateway's loop, as is the next one
    private RouteTable distributed;  // null while resources have no route
    private Revision inForce;  // null for none yet
    private String refused = "";
    private final Alone alone = new Alone();
    private Instant aloneSince;  // null while a machine is heard
    private String lastStatus = "";
    private int unchanged;

    /** Reads the copy; before the gateway serves, since it waits for the disk. {@code gateway} runs what swaps routes. */
    DistributionService(Path file, Configuration configuration, Function<SecretRef, byte[]> secrets, long seed, Executor gateway, Consumer<RouteTable> swap, Events events) {
        this.events = events;
        this.gateway = gateway;
        this.swap = swap;
        settings = configuration.distribution();
        status = settings.statusFile() == null ? null : new StatusFile(file, settings.statusFile());
        routes = new ResourceRoutes(new RouteChecks(configuration.radius(), configuration.pools()));
        copy = new ConfigCopy(file.toAbsolutePath().resolveSibling(settings.folder()), settings.epoch(), events);
        Table initial = copy.found();
        if (copy.there()) {
            routes.all(routesOf(initial));
            pools = new TreeSet<>(routes.pools());
            distributed = tableOf(routes);
        }
        links = new ControlLinks("distribution", settings, settings.name(), secrets, new LinkListener(), events);
        subscription = new Subscription(links.loop(), links.transport(), settings.name(), settings.zone(), initial, SubscriberSettings.DEFAULTS, seed, events, this::take);
        links.loop().execute(() -> {
            if (copy.there()) {
                acknowledge(initial.revision(), routes.problem());
            }
            subscription.machines(ControlLinks.machines(settings.publishers()));
        });
        links.loop().scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static List<Resource> routesOf(Table table) {
        List<Resource> all = new ArrayList<>(table.size(ResourceKind.ROUTE));
        table.forEach(ResourceKind.ROUTE, all::add);
        return all;
    }

    private static RouteTable tableOf(ResourceRoutes routes) {
        return routes.routes().isEmpty() ? null : routes.table();
    }

    /** Until there is something to serve by: at once where there was a copy. */
    void await() throws InterruptedException {
        if (ready.getCount() > 0) {
            events.event(Level.INFO, "config_waits", "waits for the configuration: no copy is there, and control machines are asked");
        }
        ready.await();
    }

    /** The routes in force: of resources, or where those have none, those of the gateway's file, which are these from now on. On the gateway's loop. */
    RouteTable table(RouteTable ofFile) {
        fromFile = ofFile;
        return distributed == null ? fromFile : distributed;
    }

    /** What speaks against a change of the gateway's file. */
    List<String> problems(Configuration next) {
        return pools.stream().filter(pool -> !next.pools().containsKey(pool))
                .map(pool -> "pool " + pool + ": expected it to stay while routes that are distributed name it, found it taken out; change those first").toList();
    }

    /** The gateway's file has changed, and is in force. */
    void configure(Configuration next, Function<SecretRef, byte[]> secrets) {
        links.configure(next.distribution(), secrets);
        links.loop().execute(() -> {
            subscription.machines(ControlLinks.machines(next.distribution().publishers()));
            routes.checks(new RouteChecks(next.radius(), next.pools()));
            Table table = subscription.subscriber().table();
            if (inForce != null) {
                activate(table.revision(), routes.all(routesOf(table)));
            }
        });
    }

    // ---- what control machines say

    private final class LinkListener implements ControlLinks.Listener {

        @Override
        public void received(String from, boolean reply, byte kind, byte[] message) {
            if (kind == ControlLinks.CONFIG && reply) {
                subscription.received(from, message);
            }
        }

        @Override
        public void outboundClosed(String to) {
            subscription.outboundClosed(to);
        }
    }

    private void take(Table next, List<Delta> deltas) {
        copy.write(next, deltas);
        boolean changed = false;
        if (deltas.isEmpty()) {
            changed = routes.all(routesOf(next));
        }
        for (Delta each : deltas) {
            changed |= routes.change(each);
        }
        activate(next.revision(), changed);
    }

    /** Puts routes in force, where they have changed, by one event of the gateway's loop, and acknowledges the revision after that. */
    private void activate(Revision revision, boolean changed) {
        RouteTable next = changed ? tableOf(routes) : null;
        String problem = routes.problem();
        TreeSet<String> named = changed ? new TreeSet<>(routes.pools()) : pools;
        pools = named;  // before they are in force: a pool that is taken out meanwhile is refused
        gateway.execute(() -> {
            if (changed) {
                distributed = next;
                swap.accept(next == null ? fromFile : next);
            }
            if (!links.loop().isShuttingDown()) {
                links.loop().execute(() -> acknowledge(revision, problem));
            }
        });
    }

    private void acknowledge(Revision revision, String problem) {
        if (problem == null) {
            subscription.inForce(revision);
        } else {
            if (!problem.equals(refused)) {
                events.event(Level.WARN, "config_refused", "revision " + revision.number() + " can't be put in force whole, what was before stays: " + problem, "number", revision.number());
            }
            subscription.refused(revision, problem);
        }
        if (problem == null && !refused.isEmpty()) {
            events.event(Level.INFO, "config_taken", "nothing is held back any more, from revision " + revision.number() + " on", "number", revision.number());
        }
        refused = problem == null ? "" : problem;
        if (inForce == null || !inForce.equals(revision)) {
            events.event(Level.INFO, "config_in_force", "revision " + revision.number() + " of epoch " + revision.epoch() + " is in force, " + routes.routes().size() + " routes", "number",
                    revision.number(), "epoch", revision.epoch(), "routes", routes.routes().size());
        }
        inForce = revision;
        ready.countDown();
    }

    // ---- how it does

    private void poll() {
        if (subscription.subscriber().ready() && inForce == null && subscription.subscriber().table().revision().number() == 0) {
            acknowledge(subscription.subscriber().table().revision(), null);  // a machine says that there is nothing yet: the file's routes serve
        }
        if (alone.now(subscription.subscriber().disconnectedSince() != 0)) {
            aloneSince = alone.millis() == 0 ? null : Instant.now().minusMillis(alone.millis());
            if (aloneSince != null) {
                events.event(Level.WARN, "config_alone", "no control machine is heard since " + aloneSince + ": serves on by what it has");
            } else {
                events.event(Level.INFO, "config_alone_over", "a control machine is heard again: " + subscription.subscriber().currentMachine());
            }
        }
        if (status != null && !writer.isShutdown()) {
            Map<String, Object> all = status();
            String now = all.toString();
            if (!now.equals(lastStatus) || ++unchanged >= STATUS_ANYWAY) {
                lastStatus = now;
                unchanged = 0;
                writer.execute(() -> write(all));
            }
        }
    }

    private Map<String, Object> status() {
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("gateway", settings.name());
        Revision newest = subscription.subscriber().table().revision();
        all.put("epoch", newest.epoch());
        all.put("newest", newest.number());
        all.put("in_force", inForce == null ? null : inForce.number());
        all.put("held_back", refused);
        all.put("routes", routes.routes().size());
        all.put("copy", copy.written());
        all.put("machine", subscription.subscriber().currentMachine());
        all.put("alone_since", aloneSince == null ? null : aloneSince.toString());
        return all;
    }

    private void write(Map<String, Object> all) {
        try {
            all.put("at", Instant.now().toString());
            status.write(all);
        } catch (IOException e) {
            events.event(Level.ERROR, "status_unwritten", "status file of the distribution not written: " + e);
        }
    }

    /** Ends; the copy is written as far as it was told. */
    @Override
    public void close() {
        if (!links.loop().isShuttingDown()) {
            links.loop().submit(subscription::close).syncUninterruptibly();
        }
        links.close();
        writer.shutdown();
        copy.close();
    }
}
