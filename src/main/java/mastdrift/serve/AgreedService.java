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

/** The agreed log in a gateway from files, and its first use: the roll, an entry of each gateway now and then, by which everybody knows that the log works and who was there when. No request waits for it; without it nothing but
    the roll is missing. */
final class AgreedService implements AutoCloseable {

    private static final String ROLL = "roll ";
    private static final long SAID_MILLIS = 100;
    private static final int SAID_MOST = 64;

    private final AgreedSettings settings;
    private final String name;
    private final PeerService peers;
    private final Events events;
    private final RaftLog log;
    private final ScheduledThreadPoolExecutor timer;
    private final Map<String, Long> rolls = new HashMap<>();  // the index of each gateway's last entry
    private final List<Decision> unsaid = new ArrayList<>();
    private String survives = "";
    private long number;

    AgreedService(Path file, Configuration configuration, PeerService peers, Events events) {
        settings = configuration.agreed();
        name = configuration.gateway().name();
        this.peers = peers;
        this.events = events;
        timer = new ScheduledThreadPoolExecutor(1, task -> {
            Thread thread = new Thread(task, "agreed-roll");
            thread.setDaemon(true);
            return thread;
        });
        log = new RaftLog(new RaftLog.Settings(name, configuration.peers().installation(), settings.begin(), settings.voters(),
                file.toAbsolutePath().resolveSibling(settings.folder()), settings.replaceAfter()), peers.transport(), this::read, this::eligible,
                (bad, what, text, fields) -> event(bad ? Level.WARN : Level.INFO, what, text, fields));
        peers.log(this::status);
        long every = settings.rollEvery();
        timer.scheduleWithFixedDelay(() -> roll(configuration.gateway().zone()), every, every, TimeUnit.MICROSECONDS);
    }

    private void event(Level level, String what, String text, Object... fields) {
        Object[] all = new Object[fields.length + 2];
        System.arraycopy(fields, 0, all, 0, fields.length);
        all[fields.length] = "mono_us";
        all[fields.length + 1] = System.nanoTime() / 1_000;
        events.event(level, what, text, all);
    }

    private List<Voters.EligibleGateway> eligible() {
        long now = System.nanoTime() / 1_000;
        List<Voters.EligibleGateway> all = new ArrayList<>(List.of(new Voters.EligibleGateway(name, zone(name), 0)));
        for (MembershipList.Entry each : peers.seen()) {
            boolean there = each.update().state() == MemberState.ALIVE || each.update().state() == MemberState.SUSPECT;
            all.add(new Voters.EligibleGateway(each.update().member().name(), each.update().member().zone(), there ? 0 : Math.max(1, now - each.since())));
        }
        return all;
    }

    private String zone(String gateway) {
        return peers.seen().stream().filter(each -> each.update().member().name().equals(gateway)).map(each -> each.update().member().zone()).findFirst().orElse(peers.zone());
    }

    private void roll(String zone) {
        String id = ROLL + name + " " + peers.generation() + " " + ++number;
        byte[] command;
        try {
            command = JSON.std.asBytes(new LinkedHashMap<>(Map.of("gateway", name, "zone", zone, "life", peers.generation())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);  // of bytes in memory
        }
        log.append(id, command, outcome -> appended(id, outcome));
        saySurvival();
    }

    private void appended(String id, AppendOutcome outcome) {
        if (outcome instanceof AppendOutcome.Committed committed) {
            event(Level.INFO, "agreed_in", "in the agreed log: " + id, "id", id, "index", committed.index());
        } else if (outcome instanceof AppendOutcome.Rejected rejected) {
            event(Level.WARN, "agreed_out", "not in the agreed log: " + id + ": " + rejected.reason(), "id", id);
        } else if (outcome instanceof AppendOutcome.Unknown unknown) {
            event(Level.WARN, "agreed_unknown", "not known to be in the agreed log: " + id + ": " + unknown.reason(), "id", id);
        }
    }

    private void read(Decision decision) {
        synchronized (rolls) {
            if (decision.id().startsWith(ROLL)) {
                rolls.put(decision.id().split(" ")[1], decision.index());
            }
            unsaid.add(decision);
            if (unsaid.size() > 1) {
                return;
            }
        }
        try {
            timer.schedule(this::sayRead, SAID_MILLIS, TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            return;  // it is being closed
        }
    }

    /** Many at once where there are many: a log of events has room for some a second. */
    private void sayRead() {
        List<Decision> all;
        synchronized (rolls) {
            all = List.copyOf(unsaid);
            unsaid.clear();
        }
        for (int i = 0; i < all.size(); i += SAID_MOST) {
            List<Decision> some = all.subList(i, Math.min(all.size(), i + SAID_MOST));
            event(Level.INFO, "agreed_read", "the agreed log has " + some.size() + " more decisions, up to " + some.get(some.size() - 1).index(), "ids",
                    some.stream().map(each -> each.index() + "=" + each.id()).collect(Collectors.joining(";")));
        }
    }

    /** Once, and again when it changes. */
    private void saySurvival() {
        Map<String, String> zones = new HashMap<>();
        log.status().voterIds().keySet().forEach(voter -> zones.put(voter, zone(voter)));
        if (zones.isEmpty()) {
            return;
        }
        Voters.FaultTolerance now = Voters.faultTolerance(zones);
        String text = "voters " + new TreeSet<>(zones.keySet()) + " survive the loss of " + now.gatewayFailures() + (now.gatewayFailures() == 1 ? " gateway" : " gateways") + ", and of a zone: "
                + (now.anyZoneFailure() ? "yes" : "no");
        if (!text.equals(survives)) {
            survives = text;
            event(Level.INFO, "agreed_survives", text, "gateways", now.gatewayFailures(), "zone", now.anyZoneFailure());
        }
    }

    private Map<String, Object> status() {
        RaftLog.Status now = log.status();
        Map<String, Object> all = new LinkedHashMap<>();
        all.put("part", now.role());
        all.put("why", now.reason());
        all.put("leader", now.leader());
        all.put("term", now.term());
        all.put("last", now.lastIndex());
        all.put("voters", new TreeSet<>(now.voterIds().keySet()));
        synchronized (rolls) {
            all.put("rolls", new LinkedHashMap<>(rolls));
        }
        return all;
    }

    @Override
    public void close() {
        timer.shutdownNow();
        log.close();
    }
}
