package mastdrift.serve;

import com.fasterxml.jackson.jr.ob.JSON;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import mastdrift.agreed.AgreedLog.AppendOutcome;
import mastdrift.agreed.AgreedLog.Decision;
import mastdrift.agreed.Voters;
import mastdrift.agreed.edge.RaftLog;
import mastdrift.config.AgreedSettings;
import mastdrift.config.Configuration;
import mastdrift.events.Events;
import mastdrift.events.Events.Level;
import mastdrift.peers.MemberState;
import mastdrift.peers.MembershipList;

/**
 * Runs the replicated log (Raft) in a gateway that is configured from files. Its only client so far are presence
 * entries: each gateway appends one at a fixed interval, which shows to all gateways that the log works and who took
 * part when. No request waits for the log; without it only the presence entries are missing.
 */
final class AgreedService implements AutoCloseable {

    private static final String PRESENCE_ID_PREFIX = "roll ";
    private static final long DECISIONS_EVENT_DELAY_MILLIS = 100;
    private static final int MAX_DECISIONS_PER_EVENT = 64;

    private final AgreedSettings settings;
    private final String gatewayName;
    private final PeerService peers;
    private final Events events;
    private final RaftLog log;
    private final ScheduledThreadPoolExecutor scheduler;
    // index of the last presence entry of each gateway
    private final Map<String, Long> presenceIndices = new HashMap<>();
    private final List<Decision> unreportedDecisions = new ArrayList<>();
    private String reportedTolerance = "";
    private long lastPresenceNumber;

    AgreedService(Path file, Configuration configuration, PeerService peers, Events events) {
        settings = configuration.agreed();
        gatewayName = configuration.gateway().name();
        this.peers = peers;
        this.events = events;
        scheduler = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreed-roll");
            thread.setDaemon(true);
            return thread;
        });
        log = new RaftLog(new RaftLog.Settings(gatewayName, configuration.peers().installation(), settings.logId(), settings.voters(),
                file.toAbsolutePath().resolveSibling(settings.folder()), settings.replaceAfterMicros()), peers.transport(), this::onDecision, this::eligible,
                (isWarning, eventName, text, fields) -> event(isWarning ? Level.WARN : Level.INFO, eventName, text,
                        fields));
        peers.logStatus(this::status);
        long presenceIntervalMicros = settings.livenessIntervalMicros();
        scheduler.scheduleWithFixedDelay(() -> appendPresence(configuration.gateway().zone()), presenceIntervalMicros,
                presenceIntervalMicros, TimeUnit.MICROSECONDS);
    }

    private void event(Level level, String name, String text, Object... fields) {
        Object[] fieldsWithTime = new Object[fields.length + 2];
        System.arraycopy(fields, 0, fieldsWithTime, 0, fields.length);
        fieldsWithTime[fields.length] = "mono_us";
        fieldsWithTime[fields.length + 1] = System.nanoTime() / 1_000;
        events.event(level, name, text, fieldsWithTime);
    }

    private List<Voters.EligibleGateway> eligible() {
        long nowMicros = System.nanoTime() / 1_000;
        List<Voters.EligibleGateway> eligible = new ArrayList<>(List.of(new Voters.EligibleGateway(gatewayName, zoneOf(gatewayName),
                0)));
        for (MembershipList.Entry each : peers.members()) {
            boolean isPresent = each.update().state() == MemberState.ALIVE
                    || each.update().state() == MemberState.SUSPECT;
            eligible.add(new Voters.EligibleGateway(each.update().member().name(), each.update().member().zone(), isPresent ? 0 : Math.max(1, nowMicros - each.stateSinceMicros())));
        }
        return eligible;
    }

    private String zoneOf(String gateway) {
        return peers.members().stream().filter(each -> each.update().member().name().equals(gateway)).map(each -> each.update().member().zone()).findFirst().orElse(peers.zone());
    }

    private void appendPresence(String zone) {
        String id = PRESENCE_ID_PREFIX + gatewayName + " " + peers.generation() + " " + ++lastPresenceNumber;
        byte[] command;
        try {
            command = JSON.std.asBytes(new LinkedHashMap<>(Map.of("gateway", gatewayName, "zone", zone, "life", peers.generation())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // cannot happen: the bytes are in memory
        }
        log.append(id, command, outcome -> reportAppend(id, outcome));
        reportFaultTolerance();
    }

    private void reportAppend(String id, AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            event(Level.INFO, "agreed_in", "appended to the replicated log: " + id, "id", id, "index",
                    committed.index());
        } else if (outcome instanceof AppendOutcome.Rejected rejected) {
            event(Level.WARN, "agreed_out", "rejected by the replicated log: " + id + ": " + rejected.reason(), "id", id);
        } else if (outcome instanceof AppendOutcome.Unknown unknown) {
            event(Level.WARN, "agreed_unknown", "outcome of the append to the replicated log unknown: " + id + ": " + unknown.reason(), "id", id);
        }
    }

    private void onDecision(Decision decision) {
        synchronized (presenceIndices) {
            if (decision.id().startsWith(PRESENCE_ID_PREFIX)) {
                presenceIndices.put(decision.id().split(" ")[1], decision.index());
            }
            unreportedDecisions.add(decision);
            if (unreportedDecisions.size() > 1) {
                return;
            }
        }
        try {
            scheduler.schedule(this::reportDecisions, DECISIONS_EVENT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return;  // the service is being closed
        }
    }

    /**
     * Reports the decisions that were delivered since the last event, up to {@link #MAX_DECISIONS_PER_EVENT} in one
     * event, since the event log limits the events of one name per second.
     */
    private void reportDecisions() {
        List<Decision> decisions;
        synchronized (presenceIndices) {
            decisions = List.copyOf(unreportedDecisions);
            unreportedDecisions.clear();
        }
        for (int i = 0; i < decisions.size(); i += MAX_DECISIONS_PER_EVENT) {
            List<Decision> batch = decisions.subList(i, Math.min(decisions.size(), i + MAX_DECISIONS_PER_EVENT));
            event(Level.INFO, "agreed_read", "replicated log delivered " + batch.size() + " more decisions, up to index " + batch.get(batch.size() - 1).index(), "ids",
                    batch.stream().map(each -> each.index() + "=" + each.id()).collect(Collectors.joining(";")));
        }
    }

    /** Reports how many failures the voters tolerate: at the first call, and whenever it has changed. */
    private void reportFaultTolerance() {
        Map<String, String> zones = new HashMap<>();
        log.status().voterIds().keySet().forEach(voter -> zones.put(voter, zoneOf(voter)));
        if (zones.isEmpty()) {
            return;
        }
        Voters.FaultTolerance tolerance = Voters.faultTolerance(zones);
        String text = "voters " + new TreeSet<>(zones.keySet()) + " tolerate the loss of " + tolerance.gatewayFailures() + (tolerance.gatewayFailures() == 1 ? " gateway" : " gateways") + "; of any one zone: "
                + (tolerance.anyZoneFailure() ? "yes" : "no");
        if (!text.equals(reportedTolerance)) {
            reportedTolerance = text;
            event(Level.INFO, "agreed_survives", text, "gateways", tolerance.gatewayFailures(), "zone", tolerance.anyZoneFailure());
        }
    }

    private Map<String, Object> status() {
        RaftLog.Status logStatus = log.status();
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("part", logStatus.role());
        fields.put("why", logStatus.reason());
        fields.put("leader", logStatus.leader());
        fields.put("term", logStatus.term());
        fields.put("last", logStatus.lastIndex());
        fields.put("voters", new TreeSet<>(logStatus.voterIds().keySet()));
        synchronized (presenceIndices) {
            fields.put("rolls", new LinkedHashMap<>(presenceIndices));
        }
        return fields;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        log.close();
    }
}
