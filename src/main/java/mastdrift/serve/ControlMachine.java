package mastdrift.serve;

import io.netty.channel.ChannelFuture;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import mastdrift.agreed.AgreedLog;
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.Voters;
import mastdrift.agreed.edge.RaftLog;
import mastdrift.agreed.edge.LogTransport;
import mastdrift.config.DistributionReader;
import mastdrift.config.DistributionSettings;
import mastdrift.config.DistributionSettings.Machine;
import mastdrift.config.DistributionSettings.Role;
import mastdrift.config.Problems;
import mastdrift.config.ResourceValues;
import mastdrift.distribution.Change;
import mastdrift.distribution.ChangeCheck;
import mastdrift.distribution.Command;
import mastdrift.distribution.ControlMessage;
import mastdrift.distribution.Delta;
import mastdrift.distribution.EpochStart;
import mastdrift.distribution.PublisherSettings;
import mastdrift.distribution.Revision;
import mastdrift.distribution.Store;
import mastdrift.distribution.SubscriberSettings;
import mastdrift.distribution.Table;
import mastdrift.distribution.edge.ControlCodec;
import mastdrift.distribution.edge.MessageCodec;
import mastdrift.distribution.edge.Publication;
import mastdrift.distribution.edge.Subscription;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.files.FileContents;
import mastdrift.net.Addresses;

/**
 * A control machine. A voter agrees with the other voters on each change and publishes it to relays; a relay publishes
 * what it receives from voters. Both keep a copy on disk and answer queries of operators; only a voter accepts changes.
 *
 * <p>Everything runs on one event loop, except for the replicated log, which has threads of its own, and disk writes.
 * Bounds: {@value #MAX_PENDING_CHANGES} changes that wait for their outcome, each for {@value #APPLY_TIMEOUT_MILLIS}
 * ms; {@value #MAX_QUEUED_DECISIONS} decisions between the log and the table.
 */
public final class ControlMachine implements AutoCloseable {

    static final int MAX_PENDING_CHANGES = 256;
    static final int MAX_QUEUED_DECISIONS = 256;
    static final long APPLY_TIMEOUT_MILLIS = 8_000;
    private static final byte RAFT_KIND = 3;
    private static final long POLL_INTERVAL_MILLIS = 250;
    private static final int POLLS_PER_SUMMARY = 8;  // polls from one summary to the next
    // A voter is never replaced by another: one that has lost its folder joins again.
    private static final long NEVER_REPLACE_MICROS = Long.MAX_VALUE / 4;

    /** A request that waits for the outcome of its change. */
    private record PendingApply(String from, long requestId, long deadlineNanos) { }

    private final DistributionSettings settings;
    private final Events events;
    private final ControlLinks links;
    private final ConfigCopy copy;
    private final Publication publication;
    private final Subscription subscription;  // of a relay: always active; of a voter: only while decisions are missing
    private final Store store;  // null at a relay, as is the log
    private final RaftLog log;
    private final ChangeCheck check = new ChangeCheck(ResourceValues::findProblems);
    private final ScheduledThreadPoolExecutor proposer = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("control-log", true));
    private final Semaphore decisionPermits = new Semaphore(MAX_QUEUED_DECISIONS);
    private final Map<String, List<PendingApply>> pending = new LinkedHashMap<>();
    // log index of committed changes that are not applied here yet
    private final Map<String, Long> committedIndices = new HashMap<>();
    private volatile BiConsumer<String, byte[]> raftReceiver = (from, message) -> { };
    private int pendingCount;
    private long lastDecidedIndex;
    private boolean catchingUp;
    // the start of the epoch has been appended to the log, and its outcome is not known yet
    private boolean epochStartPending;
    private final IsolationTracker isolation = new IsolationTracker();
    private String leader = "";
    private long leaderSeenAtNanos = System.nanoTime();
    private boolean joinedLog;  // whether this voter takes part in the log and has seen a leader since its start
    private int polls;

    /**
     * Starts the control machine that a file describes; throws IllegalArgumentException with all problems, a line each.
     */
    public static ControlMachine start(Path file, Events events) {
        List<String> problems = new ArrayList<>();
        DistributionSettings settings = readSettings(file, problems);
        Secrets secrets = new Secrets(file, System.getenv());
        if (settings != null) {
            problems.addAll(secrets.read(settings.keys()));
        }
        if (!problems.isEmpty()) {
            throw new IllegalArgumentException(String.join("\n", problems));
        }
        ControlMachine machine = new ControlMachine(file, settings, secrets, events);
        try {
            machine.listen();
            return machine;
        } catch (IllegalArgumentException e) {
            machine.close();
            throw e;
        }
    }

    /**
     * The settings in a control machine's file; null if they can't be used, with the reasons added to {@code problems}.
     */
    static DistributionSettings readSettings(Path file, List<String> problems) {
        Problems readProblems = new Problems();
        String text = new FileContents(file).text(FileContents.displayName(file), readProblems);
        problems.addAll(readProblems.lines());
        if (text == null) {
            return null;
        }
        DistributionReader.Result result = DistributionReader.readControl(FileContents.displayName(file), text);
        problems.addAll(result.problems());
        return result.settings();
    }

    private ControlMachine(Path file, DistributionSettings settings, Secrets secrets, Events events) {
        this.settings = settings;
        this.events = events;
        boolean isVoter = settings.role() == Role.VOTER;
        Path folder = file.toAbsolutePath().resolveSibling(settings.folder());
        copy = new ConfigCopy(folder.resolve("table"), settings.epoch(), events);
        Table initial = copy.exists() ? copy.initialTable() : Store.initialTable(settings.epoch());
        if (isVoter && initial.revision().epoch() > settings.epoch()) {
            throw new IllegalArgumentException("distribution.epoch: expected " + initial.revision().epoch() + " or a later one, as its folder has, found " + settings.epoch());
        }
        links = new ControlLinks("control-links", settings, settings.name(), secrets::get, new LinkListener(), events);
        publication = new Publication(links.loop(), links.transport(), initial, PublisherSettings.DEFAULTS, events);
        subscription = new Subscription(links.loop(), links.transport(), settings.name(), settings.zone(), initial, SubscriberSettings.DEFAULTS, System.nanoTime(), events, this::onSubscribedTable);
        store = isVoter ? new Store(initial, settings.epoch(), new StoreActions()) : null;
        log = isVoter ? openLog(folder) : null;
        if (!isVoter) {
            links.loop().execute(() -> {
                subscription.tableApplied(initial.revision());
                subscription.setMachines(ControlLinks.subscriptionMachines(settings.publishers()));
            });
        }
        links.loop().execute(() -> publication.setSourceUnreachable(true));  // until there is contact with the source of the table
        links.loop().scheduleWithFixedDelay(this::poll, POLL_INTERVAL_MILLIS, POLL_INTERVAL_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private RaftLog openLog(Path folder) {
        List<Machine> voters = settings.machines(Role.VOTER);
        Set<String> names = voters.stream().map(Machine::name).collect(Collectors.toSet());
        List<Voters.EligibleGateway> eligible = voters.stream().map(each -> new Voters.EligibleGateway(each.name(), each.zone(), 0)).toList();
        LogTransport transport = new LogTransport() {
            @Override
            public void send(String to, byte[] message) {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> links.links().send(to, RAFT_KIND, message));
                }
            }

            @Override
            public void onMessage(BiConsumer<String, byte[]> receiver) {
                raftReceiver = (from, message) -> {
                    if (names.contains(from)) {
                        receiver.accept(from, message);
                    }
                };
            }
        };
        return new RaftLog(new RaftLog.Settings(settings.name(), settings.installation() + "/distribution", "epoch-" + settings.epoch(), voters.stream().map(Machine::name).toList(),
                folder.resolve("agreed"), NEVER_REPLACE_MICROS), transport, this::enqueueDecision, () -> eligible, (isWarning, eventName, text, fields) -> events.event(isWarning ? Level.WARN : Level.INFO, eventName, text, fields));
    }

    private void listen() {
        ChannelFuture bound = links.links().listen(Addresses.parse(settings.listen())).awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IllegalArgumentException("no listening on " + settings.listen() + ": " + bound.cause().getMessage());
        }
        events.event(Level.INFO, "listening", settings.role().name().toLowerCase(Locale.ROOT) + " " + settings.name() + " listening on " + links.links().address(), "protocol", "distribution",
                "address", links.links().address());
    }

    private final class LinkListener implements ControlLinks.Listener {

        @Override
        public void received(String from, boolean reply, byte kind, byte[] message) {
            if (kind == ControlLinks.CONFIG_KIND && reply) {
                subscription.received(from, message);
            } else if (kind == ControlLinks.CONFIG_KIND) {
                publication.received(from, message);
            } else if (kind == RAFT_KIND) {
                raftReceiver.accept(from, message);
            } else if (kind == ControlLinks.CONTROL_KIND && !reply) {
                handle(from, ControlCodec.decode(message));
            } else {
                throw new IllegalArgumentException("expected a message of a kind that this build knows, found " + kind);
            }
        }

        @Override
        public void outboundClosed(String to) {
            subscription.outboundClosed(to);
        }

        @Override
        public void inboundClosed(String from) {
            publication.inboundClosed(from);
        }
    }

    // ---- relay, and voter that catches up

    private void onSubscribedTable(Table next, List<Delta> deltas) {
        if (store == null) {
            copy.write(next, deltas);
            publication.publishTable(next, deltas);
        }
        links.loop().execute(() -> {  // not within the callback of the subscriber
            if (store != null && store.installTable(next)) {
                completeApplied();
                updateCatchUp();
            }
            subscription.tableApplied(next.revision());  // acknowledge now, or the publisher would hold back later revisions
        });
    }

    /**
     * A voter that lacks decisions, since its log no longer has them, subscribes to another voter until it has a table
     * that includes them.
     */
    private void updateCatchUp() {
        boolean missing = store.lastMissingOrdinal() != 0;
        if (missing != catchingUp) {
            catchingUp = missing;
            List<Machine> others = settings.machines(Role.VOTER).stream().filter(each -> !each.name().equals(settings.name())).toList();
            subscription.setMachines(missing ? ControlLinks.subscriptionMachines(others) : List.of());
            events.event(missing ? Level.WARN : Level.INFO, missing ? "config_catches_up" : "config_caught_up", missing ? "decisions up to " + store.lastMissingOrdinal()
                    + " are missing: fetching the table of another voter" : "no decision is missing any longer, at revision " + store.table().revision().number());
        }
    }

    // ---- voter

    private final class StoreActions implements Store.Actions {

        @Override
        public void table(Table next, List<Delta> deltas) {
            copy.write(next, deltas);
            publication.publishTable(next, deltas);
        }

        @Override
        public void event(String name, String text) {
            events.event(name.equals("config_epoch") ? Level.INFO : Level.WARN, name, text);
        }
    }

    /**
     * Called on a thread of the log, which blocks while {@link #MAX_QUEUED_DECISIONS} decisions wait for the event
     * loop.
     */
    private void enqueueDecision(Decision decision) {
        decisionPermits.acquireUninterruptibly();
        try {
            links.loop().execute(() -> {
                decisionPermits.release();
                applyDecision(decision);
            });
        } catch (RejectedExecutionException e) {
            return;  // the machine is being closed
        }
    }

    private void applyDecision(Decision decision) {
        Command command = null;
        try {
            command = MessageCodec.decodeCommand(decision.command());
        } catch (IllegalArgumentException e) {
            events.event(Level.WARN, "config_unreadable", "decision " + decision.ordinal() + " can't be decoded by this build and has no effect: " + e.getMessage());
        }
        boolean isNew = decision.ordinal() > store.appliedOrdinal();
        Store.ChangeOutcome outcome = store.applyEntry(decision.ordinal(), decision.id(), command);
        lastDecidedIndex = decision.index();
        if (isNew && command instanceof Change && outcome instanceof Store.ChangeOutcome.Applied applied) {
            events.event(Level.INFO, "config_decided", "change " + decision.id() + " is applied, revision " + applied.revision().number(), "id", decision.id(), "number", applied.revision().number());
        } else if (isNew && outcome instanceof Store.ChangeOutcome.Conflict conflict) {
            events.event(Level.INFO, "config_conflict", "change " + decision.id() + " has no effect: " + conflict.reason(), "id", decision.id(), "number", decision.ordinal());
        }
        completeApplied();
        updateCatchUp();
    }

    private void apply(String from, ControlMessage.Apply apply) {
        Change change = apply.change();
        List<String> problems = check.problems(change);
        if (!problems.isEmpty()) {
            reply(from, new ControlMessage.Refused(apply.requestId(), problems));
        } else if (store.outcome(change.id()) != null && respond(from, apply.requestId(), store.outcome(change.id()))) {
            return;  // a repeated request
        } else if (!store.isEpochStarted()) {
            reply(from, new ControlMessage.Unknown(apply.requestId(), "epoch " + settings.epoch() + " has not begun at " + settings.name() + ", ask again; a first installation begins with epoch 1"));
        } else if (pendingCount >= MAX_PENDING_CHANGES) {
            reply(from, new ControlMessage.Unknown(apply.requestId(), "expected at most " + MAX_PENDING_CHANGES + " pending changes, ask again"));
        } else {
            pendingCount++;
            pending.computeIfAbsent(change.id(), id -> new ArrayList<>()).add(new PendingApply(from, apply.requestId(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(APPLY_TIMEOUT_MILLIS)));
            byte[] command = MessageCodec.encode(change);
            proposer.execute(() -> log.append(change.id(), command, outcome -> {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> appended(change.id(), outcome));
                }
            }));
        }
    }

    /**
     * Appends the start of the epoch from this voter's table, until its outcome is known. All voters use the same id,
     * so only the first of these entries takes effect.
     */
    private void requestEpochStart() {
        Revision epochBase = joinedLog && !epochStartPending ? store.epochStartCandidate() : null;
        if (epochBase != null) {
            epochStartPending = true;
            String id = "epoch-" + settings.epoch() + "-begins";
            byte[] command = MessageCodec.encode(new EpochStart(epochBase));
            proposer.execute(() -> log.append(id, command, outcome -> {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> epochStartPending = false);
                }
            }));
        }
    }

    private void appended(String id, AgreedLog.AppendOutcome outcome) {
        if (outcome instanceof AgreedLog.AppendOutcome.Committed committed) {
            if (pending.containsKey(id)) {
                committedIndices.put(id, committed.index());
                completeApplied();
            }
        } else if (outcome instanceof AgreedLog.AppendOutcome.Rejected rejected) {
            complete(id, requestId -> new ControlMessage.Refused(requestId, List.of(rejected.reason())));
        } else if (outcome instanceof AgreedLog.AppendOutcome.Unknown unknown) {
            complete(id, requestId -> new ControlMessage.Unknown(requestId, unknown.reason()));
        }
    }

    /** Answers the requests whose changes have been applied by now. */
    private void completeApplied() {
        for (String id : List.copyOf(pending.keySet())) {
            Store.ChangeOutcome outcome = store.outcome(id);
            if (outcome instanceof Store.ChangeOutcome.Applied applied) {
                complete(id, requestId -> new ControlMessage.Applied(requestId, applied.revision()));
            } else if (outcome instanceof Store.ChangeOutcome.Conflict conflict) {
                complete(id, requestId -> new ControlMessage.Conflicted(requestId, conflict.reason()));
            } else if (store.lastMissingOrdinal() == 0 && committedIndices.getOrDefault(id, Long.MAX_VALUE) <= lastDecidedIndex) {
                // decided earlier than the outcomes that are still remembered here
                complete(id, requestId -> new ControlMessage.Applied(requestId, null));
            }
        }
    }

    private boolean respond(String from, long requestId, Store.ChangeOutcome outcome) {
        if (outcome instanceof Store.ChangeOutcome.Applied applied) {
            reply(from, new ControlMessage.Applied(requestId, applied.revision()));
        } else if (outcome instanceof Store.ChangeOutcome.Conflict conflict) {
            reply(from, new ControlMessage.Conflicted(requestId, conflict.reason()));
        }
        return !(outcome instanceof Store.ChangeOutcome.Pending);
    }

    /** Builds the response to the request with a given id. */
    private interface ResponseFactory {
        ControlMessage create(long requestId);
    }

    private void complete(String id, ResponseFactory response) {
        committedIndices.remove(id);
        List<PendingApply> waiting = pending.remove(id);
        if (waiting != null) {
            pendingCount -= waiting.size();
            waiting.forEach(each -> reply(each.from(), response.create(each.requestId())));
        }
    }

    // ---- operator requests

    private void reply(String to, ControlMessage message) {
        links.links().reply(to, ControlLinks.CONTROL_KIND, ControlCodec.encode(message));
    }

    private void handle(String from, ControlMessage request) {
        if (request instanceof ControlMessage.Apply apply) {
            if (store == null) {
                reply(from, new ControlMessage.AskVoter(apply.requestId(), settings.name() + " is a relay and accepts no changes: ask a voter"));
            } else {
                apply(from, apply);
            }
        } else if (request instanceof ControlMessage.Get get) {
            Table table = table();
            reply(from, new ControlMessage.Found(get.requestId(), table.revision(), table.get(get.kind(), get.name())));
        } else if (request instanceof ControlMessage.GetStatus status) {
            reply(from, new ControlMessage.Status(status.requestId(), table().revision(), settings.role().name().toLowerCase(Locale.ROOT), leader, publication.publisher().status().subscribers(),
                    isolation.isolatedMillis(), publication.publisher().summary()));
        } else {
            throw new IllegalArgumentException("expected a request, found " + request.getClass().getSimpleName());
        }
    }

    private Table table() {
        return store == null ? subscription.subscriber().table() : store.table();
    }

    // ---- health

    /** Whether the source of the table can't be reached: this machine then no longer reports itself as current. */
    private boolean isIsolated() {
        if (store != null) {
            return !joinedLog || !store.isEpochStarted() || store.lastMissingOrdinal() != 0 || System.nanoTime() - leaderSeenAtNanos > TimeUnit.MILLISECONDS.toNanos(IsolationTracker.REPORT_AFTER_MILLIS);
        }
        return !subscription.subscriber().ready() || subscription.subscriber().disconnectedSince() != 0;
    }

    private void poll() {
        if (store != null) {
            requestEpochStart();
            proposer.execute(() -> {
                RaftLog.Status logStatus = log.status();
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> updateLeader(logStatus));
                }
            });
            long nowNanos = System.nanoTime();
            for (Map.Entry<String, List<PendingApply>> each : List.copyOf(pending.entrySet())) {
                if (each.getValue().get(0).deadlineNanos() - nowNanos < 0) {
                    complete(each.getKey(), requestId -> new ControlMessage.Unknown(requestId, "outcome not known in time, ask again under the same id"));
                }
            }
        } else if (++polls % POLLS_PER_SUMMARY == 0) {
            subscription.reportZones(publication.publisher().summary());
        }
        boolean isolated = isIsolated();
        if (isolation.update(isolated)) {
            boolean isWarning = isolation.isolatedMillis() > 0;
            events.event(isWarning ? Level.WARN : Level.INFO, isWarning ? "config_alone" : "config_alone_over", isWarning ? "no contact with the source of the table: serving the table it has, marked as not current"
                    : "contact with the source of the table is restored");
        }
        publication.setSourceUnreachable(isolated);
    }

    private void updateLeader(RaftLog.Status logStatus) {
        leader = logStatus.leader();
        if (!leader.isEmpty() && logStatus.role().equals("voter")) {
            joinedLog = true;
            leaderSeenAtNanos = System.nanoTime();
        }
    }

    /** Stops; changes of the copy that are queued are still written. */
    @Override
    public void close() {
        proposer.shutdownNow();
        // so that no thread of the log waits for the event loop any longer
        decisionPermits.release(MAX_QUEUED_DECISIONS * MAX_QUEUED_DECISIONS);
        if (log != null) {
            log.close();
        }
        if (!links.loop().isShuttingDown()) {
            links.loop().submit(() -> {
                subscription.close();
                publication.close();
            }).syncUninterruptibly();
        }
        links.close();
        copy.close();
    }
}
