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
import mastdrift.agreed.edge.Transport;
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
import mastdrift.files.FileTexts;
import mastdrift.net.Addresses;

/**
 * A control machine: a voter agrees with the others on each change and tells relays, a relay passes on what voters tell. Both keep a copy, and both answer requests of operators; only a
 * voter takes changes.
 *
 * <p>On one event loop, but for the agreed log, which has threads of its own, and the disk. Bounded: {@value #PENDING_MOST} changes that wait for their outcome, each for {@value #TIMEOUT_MILLIS} ms;
 * {@value #READ_MOST} decisions between the log and the table.
 */
public final class ControlMachine implements AutoCloseable {

    static final int PENDING_MOST = 256;
    static final int READ_MOST = 256;
    static final long TIMEOUT_MILLIS = 8_000;
    private static final byte AGREED = 3;
    private static final long POLL_MILLIS = 250;
    private static final int SUMMARY_POLLS = 8;  // polls from one summary to the next
    private static final long REPLACE_NEVER = Long.MAX_VALUE / 4;  // a voter's place is kept: its folder may be lost, and then joins anew

    /** A change that somebody waits for. */
    private record PendingApply(String from, long requestId, long deadline) { }

    private final DistributionSettings settings;
    private final Events events;
    private final ControlLinks links;
    private final ConfigCopy copy;
    private final Publication publication;
    private final Subscription subscription;  // of a relay all the time, of a voter where decisions are missing
    private final Store store;  // null at a relay, as is the log
    private final RaftLog log;
    private final ChangeCheck check = new ChangeCheck(ResourceValues::problem);
    private final ScheduledThreadPoolExecutor proposer = new ScheduledThreadPoolExecutor(1, new DefaultThreadFactory("control-log", true));
    private final Semaphore reading = new Semaphore(READ_MOST);
    private final Map<String, List<PendingApply>> pending = new LinkedHashMap<>();
    private final Map<String, Long> indices = new HashMap<>();  // of changes that are in and not yet applied here
    private volatile BiConsumer<String, byte[]> agreed = (from, message) -> { };
    private int pendingCount;
    private long lastIndex;
    private boolean catchingUp;
    private boolean beginning;  // it has asked the log to begin the epoch, and not heard yet what became of that
    private final Alone alone = new Alone();
    private String leader = "";
    private long leaderAt = System.nanoTime();
    private boolean votes;  // it takes part in the log, and has heard a leader once
    private int polls;

    /** Serves as a file says; throws IllegalArgumentException with all that speaks against it, a line each. */
    public static ControlMachine start(Path file, Events events) {
        List<String> problems = new ArrayList<>();
        DistributionSettings settings = settings(file, problems);
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

    /** What a control machine's file says; null, and problems, where that can't be used. */
    static DistributionSettings settings(Path file, List<String> problems) {
        Problems unread = new Problems();
        String text = new FileTexts(file).text(FileTexts.name(file), unread);
        problems.addAll(unread.lines());
        if (text == null) {
            return null;
        }
        DistributionReader.Result result = DistributionReader.control(FileTexts.name(file), text);
        problems.addAll(result.problems());
        return result.settings();
    }

    private ControlMachine(Path file, DistributionSettings settings, Secrets secrets, Events events) {
        this.settings = settings;
        this.events = events;
        boolean voter = settings.role() == Role.VOTER;
        Path folder = file.toAbsolutePath().resolveSibling(settings.folder());
        copy = new ConfigCopy(folder.resolve("table"), settings.epoch(), events);
        Table initial = copy.there() ? copy.found() : Store.initialTable(settings.epoch());
        if (voter && initial.revision().epoch() > settings.epoch()) {
            throw new IllegalArgumentException("distribution.epoch: expected " + initial.revision().epoch() + " or a later one, as its folder has, found " + settings.epoch());
        }
        links = new ControlLinks("control-links", settings, settings.name(), secrets::get, new LinkListener(), events);
        publication = new Publication(links.loop(), links.transport(), initial, PublisherSettings.DEFAULTS, events);
        subscription = new Subscription(links.loop(), links.transport(), settings.name(), settings.zone(), initial, SubscriberSettings.DEFAULTS, System.nanoTime(), events, this::taken);
        store = voter ? new Store(initial, settings.epoch(), new StoreActions()) : null;
        log = voter ? log(folder) : null;
        if (!voter) {
            links.loop().execute(() -> {
                subscription.inForce(initial.revision());
                subscription.machines(ControlLinks.machines(settings.publishers()));
            });
        }
        links.loop().execute(() -> publication.alone(true));  // until it has heard
        links.loop().scheduleWithFixedDelay(this::poll, POLL_MILLIS, POLL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private RaftLog log(Path folder) {
        List<Machine> voters = settings.machines(Role.VOTER);
        Set<String> names = voters.stream().map(Machine::name).collect(Collectors.toSet());
        List<Voters.Eligible> eligible = voters.stream().map(each -> new Voters.Eligible(each.name(), each.zone(), 0)).toList();
        Transport transport = new Transport() {
            @Override
            public void send(String to, byte[] message) {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> links.links().send(to, AGREED, message));
                }
            }

            @Override
            public void onMessage(BiConsumer<String, byte[]> receiver) {
                agreed = (from, message) -> {
                    if (names.contains(from)) {
                        receiver.accept(from, message);
                    }
                };
            }
        };
        return new RaftLog(new RaftLog.Settings(settings.name(), settings.installation() + "/distribution", "epoch-" + settings.epoch(), voters.stream().map(Machine::name).toList(),
                folder.resolve("agreed"), REPLACE_NEVER), transport, this::read, () -> eligible, (bad, what, text, fields) -> events.event(bad ? Level.WARN : Level.INFO, what, text, fields));
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
            if (kind == ControlLinks.CONFIG && reply) {
                subscription.received(from, message);
            } else if (kind == ControlLinks.CONFIG) {
                publication.received(from, message);
            } else if (kind == AGREED) {
                agreed.accept(from, message);
            } else if (kind == ControlLinks.CONTROL && !reply) {
                handle(from, ControlCodec.message(message));
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

    // ---- a relay, and a voter that has to catch up

    private void taken(Table next, List<Delta> deltas) {
        if (store == null) {
            copy.write(next, deltas);
            publication.table(next, deltas);
        }
        links.loop().execute(() -> {  // not in the middle of the subscriber's turn
            if (store != null && store.installTable(next)) {
                completeApplied();
                catchUp();
            }
            subscription.inForce(next.revision());  // passed on, or taken: or the publisher would hold back what follows
        });
    }

    /** A voter to which decisions are missing follows another one until it has what they made. */
    private void catchUp() {
        boolean missing = store.lastMissingOrdinal() != 0;
        if (missing != catchingUp) {
            catchingUp = missing;
            List<Machine> others = settings.machines(Role.VOTER).stream().filter(each -> !each.name().equals(settings.name())).toList();
            subscription.machines(missing ? ControlLinks.machines(others) : List.of());
            events.event(missing ? Level.WARN : Level.INFO, missing ? "config_catches_up" : "config_caught_up", missing ? "decisions up to " + store.lastMissingOrdinal()
                    + " are missing: another voter's table is asked for" : "no decision is missing any more, revision " + store.table().revision().number());
        }
    }

    // ---- a voter

    private final class StoreActions implements Store.Actions {

        @Override
        public void table(Table next, List<Delta> deltas) {
            copy.write(next, deltas);
            publication.table(next, deltas);
        }

        @Override
        public void event(String name, String text) {
            events.event(name.equals("config_epoch") ? Level.INFO : Level.WARN, name, text);
        }
    }

    /** On a thread of the log, which waits while the loop has enough to do. */
    private void read(Decision decision) {
        reading.acquireUninterruptibly();
        try {
            links.loop().execute(() -> {
                reading.release();
                decided(decision);
            });
        } catch (RejectedExecutionException e) {
            return;  // it is being closed
        }
    }

    private void decided(Decision decision) {
        Command command = null;
        try {
            command = MessageCodec.command(decision.command());
        } catch (IllegalArgumentException e) {
            events.event(Level.WARN, "config_unreadable", "decision " + decision.ordinal() + " is none that this build can read, and changes nothing: " + e.getMessage());
        }
        boolean anew = decision.ordinal() > store.appliedOrdinal();
        Store.ChangeOutcome outcome = store.applyEntry(decision.ordinal(), decision.id(), command);
        lastIndex = decision.index();
        if (anew && command instanceof Change && outcome instanceof Store.ChangeOutcome.Applied in) {
            events.event(Level.INFO, "config_decided", "change " + decision.id() + " is in, revision " + in.revision().number(), "id", decision.id(), "number", in.revision().number());
        } else if (anew && outcome instanceof Store.ChangeOutcome.Conflict conflict) {
            events.event(Level.INFO, "config_conflict", "change " + decision.id() + " changed nothing: " + conflict.reason(), "id", decision.id(), "number", decision.ordinal());
        }
        completeApplied();
        catchUp();
    }

    private void apply(String from, ControlMessage.Apply apply) {
        Change change = apply.change();
        List<String> problems = check.problems(change);
        if (!problems.isEmpty()) {
            reply(from, new ControlMessage.Refused(apply.requestId(), problems));
        } else if (store.outcome(change.id()) != null && respond(from, apply.requestId(), store.outcome(change.id()))) {
            return;  // asked again
        } else if (!store.isEpochStarted()) {
            reply(from, new ControlMessage.Unknown(apply.requestId(), "epoch " + settings.epoch() + " has not begun at " + settings.name() + ", ask again; a first installation begins with epoch 1"));
        } else if (pendingCount >= PENDING_MOST) {
            reply(from, new ControlMessage.Unknown(apply.requestId(), "expected at most " + PENDING_MOST + " changes that wait, ask again"));
        } else {
            pendingCount++;
            pending.computeIfAbsent(change.id(), id -> new ArrayList<>()).add(new PendingApply(from, apply.requestId(), System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(TIMEOUT_MILLIS)));
            byte[] command = MessageCodec.bytes(change);
            proposer.execute(() -> log.append(change.id(), command, outcome -> {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> appended(change.id(), outcome));
                }
            }));
        }
    }

    /** A voter with a table asks that the epoch begins from it, until it hears that the epoch has begun. All ask under one id: the first is in, the others are passed over. */
    private void begin() {
        Revision from = votes && !beginning ? store.epochStartCandidate() : null;
        if (from != null) {
            beginning = true;
            String id = "epoch-" + settings.epoch() + "-begins";
            byte[] command = MessageCodec.bytes(new EpochStart(from));
            proposer.execute(() -> log.append(id, command, outcome -> {
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> beginning = false);
                }
            }));
        }
    }

    private void appended(String id, AgreedLog.AppendOutcome outcome) {
        if (outcome instanceof AgreedLog.AppendOutcome.Committed committed) {
            if (pending.containsKey(id)) {
                indices.put(id, committed.index());
                completeApplied();
            }
        } else if (outcome instanceof AgreedLog.AppendOutcome.Rejected rejected) {
            complete(id, requestId -> new ControlMessage.Refused(requestId, List.of(rejected.why())));
        } else if (outcome instanceof AgreedLog.AppendOutcome.Unknown unknown) {
            complete(id, requestId -> new ControlMessage.Unknown(requestId, unknown.why()));
        }
    }

    /** Those who wait for what is applied by now. */
    private void completeApplied() {
        for (String id : List.copyOf(pending.keySet())) {
            Store.ChangeOutcome outcome = store.outcome(id);
            if (outcome instanceof Store.ChangeOutcome.Applied in) {
                complete(id, requestId -> new ControlMessage.Applied(requestId, in.revision()));
            } else if (outcome instanceof Store.ChangeOutcome.Conflict conflict) {
                complete(id, requestId -> new ControlMessage.Conflicted(requestId, conflict.reason()));
            } else if (store.lastMissingOrdinal() == 0 && indices.getOrDefault(id, Long.MAX_VALUE) <= lastIndex) {
                complete(id, requestId -> new ControlMessage.Applied(requestId, null));  // decided on before what is remembered here
            }
        }
    }

    private boolean respond(String from, long requestId, Store.ChangeOutcome outcome) {
        if (outcome instanceof Store.ChangeOutcome.Applied in) {
            reply(from, new ControlMessage.Applied(requestId, in.revision()));
        } else if (outcome instanceof Store.ChangeOutcome.Conflict conflict) {
            reply(from, new ControlMessage.Conflicted(requestId, conflict.reason()));
        }
        return !(outcome instanceof Store.ChangeOutcome.Pending);
    }

    /** Makes the response to a request of that number. */
    private interface ResponseTo {
        ControlMessage with(long requestId);
    }

    private void complete(String id, ResponseTo response) {
        indices.remove(id);
        List<PendingApply> all = pending.remove(id);
        if (all != null) {
            pendingCount -= all.size();
            all.forEach(each -> reply(each.from(), response.with(each.requestId())));
        }
    }

    // ---- operators

    private void reply(String to, ControlMessage message) {
        links.links().reply(to, ControlLinks.CONTROL, ControlCodec.bytes(message));
    }

    private void handle(String from, ControlMessage request) {
        if (request instanceof ControlMessage.Apply apply) {
            if (store == null) {
                reply(from, new ControlMessage.AskVoter(apply.requestId(), settings.name() + " passes on and agrees on nothing: ask a voter"));
            } else {
                apply(from, apply);
            }
        } else if (request instanceof ControlMessage.Get get) {
            Table table = table();
            reply(from, new ControlMessage.Found(get.requestId(), table.revision(), table.get(get.kind(), get.name())));
        } else if (request instanceof ControlMessage.GetStatus status) {
            reply(from, new ControlMessage.Status(status.requestId(), table().revision(), settings.role().name().toLowerCase(Locale.ROOT), leader, publication.publisher().status().subscribers(),
                    alone.millis(), publication.publisher().summary()));
        } else {
            throw new IllegalArgumentException("expected a request, found " + request.getClass().getSimpleName());
        }
    }

    private Table table() {
        return store == null ? subscription.subscriber().table() : store.table();
    }

    // ---- how it does

    /** Whether it can't hear where its table comes from: then it says of itself no more that it is current. */
    private boolean hearsNobody() {
        if (store != null) {
            return !votes || !store.isEpochStarted() || store.lastMissingOrdinal() != 0 || System.nanoTime() - leaderAt > TimeUnit.MILLISECONDS.toNanos(Alone.MILLIS);
        }
        return !subscription.subscriber().ready() || subscription.subscriber().disconnectedSince() != 0;
    }

    private void poll() {
        if (store != null) {
            begin();
            proposer.execute(() -> {
                RaftLog.Status now = log.status();
                if (!links.loop().isShuttingDown()) {
                    links.loop().execute(() -> ledBy(now));
                }
            });
            long time = System.nanoTime();
            for (Map.Entry<String, List<PendingApply>> each : List.copyOf(pending.entrySet())) {
                if (each.getValue().get(0).deadline() - time < 0) {
                    complete(each.getKey(), requestId -> new ControlMessage.Unknown(requestId, "not known in time, ask again under the same id"));
                }
            }
        } else if (++polls % SUMMARY_POLLS == 0) {
            subscription.summary(publication.publisher().summary());
        }
        boolean nobody = hearsNobody();
        if (alone.now(nobody)) {
            boolean bad = alone.millis() > 0;
            events.event(bad ? Level.WARN : Level.INFO, bad ? "config_alone" : "config_alone_over", bad ? "it hears nobody of whom its table comes: serves what it has, and says so"
                    : "it hears again of whom its table comes");
        }
        publication.alone(nobody);
    }

    private void ledBy(RaftLog.Status now) {
        leader = now.leader();
        if (!leader.isEmpty() && now.role().equals("voter")) {
            votes = true;
            leaderAt = System.nanoTime();
        }
    }

    /** Ends; the copy is written as far as it was told. */
    @Override
    public void close() {
        proposer.shutdownNow();
        reading.release(READ_MOST * READ_MOST);  // nobody of the log waits for the loop any more
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
