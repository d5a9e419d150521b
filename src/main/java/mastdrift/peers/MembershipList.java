package mastdrift.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

/**
 * Group membership and failure detection among gateways: SWIM (Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent
 * infection-style process group membership protocol", 2002) with Lifeguard's local health, dynamic suspicion timeouts
 * and buddy system (Dadgar, Phillips, Currey, "Lifeguard: Local health awareness for more accurate failure detection",
 * 2018).
 *
 * <p>Once an interval it probes one other member, in round-robin order, and asks some others to probe it too where the
 * ack is late. A member that gives no ack is suspected, and becomes faulty if it doesn't refute the suspicion in time.
 * Costs one probe an interval, however many members there are; updates are piggybacked on the messages that are sent
 * anyway.
 *
 * <p>A gateway that is short of CPU or was paused raises its own health score (0 to {@value #MAX_HEALTH_SCORE}) before
 * it suspects others: the higher the score, the less often it probes and the longer it waits. A pause of the process is
 * not held against other members: when a call comes later than requested, all deadlines move by as much, since answers
 * may be waiting unread.
 *
 * <p>Beyond the papers: the whole list is exchanged now and then (anti-entropy); reconnects to faulty members are
 * retried without end, since two sides of a healed partition would otherwise never find each other; and updates have
 * one total order ({@link Update}).
 *
 * <p>A process that starts with a generation below one that its peers remember, because its clock was set back and its
 * directory was lost, takes a larger generation as soon as that one is faulty. As long as that one goes on answering,
 * the name is taken: this gateway reports that and sends its peers only empty requests for their lists. Of two gateways
 * with the same name the later one wins.
 *
 * <p>Bounds: {@value #MAX_GATEWAYS} gateways, {@link PeerMessage#MAX_UPDATES} updates a message, {@value #MAX_PROBES}
 * probes at a time before requests of others are declined. No I/O, no thread, no clock; not thread-safe. Times are
 * microseconds of one monotonic clock.
 */
public final class MembershipList {

    /** Maximum number of known gateways, this one included; updates about further ones are ignored. */
    public static final int MAX_GATEWAYS = 2_000;
    /** Maximum of the local health score; 0 is healthy (Lifeguard's local health multiplier). */
    public static final int MAX_HEALTH_SCORE = 8;
    /** Number of probes in progress from which on ping requests of others are ignored. */
    public static final int MAX_PROBES = 256;
    private static final int MAX_SUSPECTING_MEMBERS = 64;  // recorded for one suspect; further ones are not counted
    private static final int RETRANSMIT_FACTOR = 4;  // the lambda of SWIM, section 4.1
    private static final long JOIN_INTERVAL_MICROS = 500_000;
    // of the probe interval minus the ack timeout; if there is no ack by then, a nack is sent
    private static final double NACK_TIMEOUT_FRACTION = 0.8;

    /**
     * Output of the list. Called while an event is being processed: whatever an action leads to is passed in as a
     * separate event.
     */
    public interface Actions {
        /** Sends a message to a gateway; delivery is not guaranteed. */
        void send(String to, PeerMessage message);

        /** Reports a change of a gateway's state, with the update that caused it. */
        void event(Event event, Update update);
    }

    /** State changes of a gateway. The constants' names leave the process and must not change. */
    public enum Event {
        /** It is present and was not known before. */
        JOINED,
        /** It restarted; the previous generation has ended. */
        RESTARTED,
        /** A member got no answer from it. */
        SUSPECTED,
        /** It refuted the suspicion. */
        REFUTED,
        /** It did not refute the suspicion in time and is now faulty. */
        GONE,
        /** It is alive again, in the generation that had been declared faulty. */
        RETURNED,
        /** It announced its shutdown. */
        LEFT,
        /** Another gateway uses this gateway's name. */
        NAME_TAKEN,
        /** No other gateway uses this gateway's name any more. */
        NAME_FREE
    }

    /**
     * Another gateway as this one sees it.
     *
     * @param update the latest update about it
     * @param stateSinceMicros when it entered its state or generation, by the local clock
     * @param lastHeardMicros when it last sent a message to this gateway; 0 for never
     */
    public record Entry(Update update, long stateSinceMicros, long lastHeardMicros) { }

    private static final class TrackedMember {
        private Update update;
        private long stateSinceMicros;
        private long lastHeardMicros;
        private long suspectedAtMicros;
        private final Set<String> suspectedBy = new LinkedHashSet<>();
        // of this update; MAX_VALUE when there is nothing to disseminate
        private int transmissions = Integer.MAX_VALUE;
    }

    /** A probe of another member, by this gateway or on behalf of another. */
    private static final class Probe {
        private final String target;
        private final String requester;  // null for this gateway's own probes
        private final long sequence;  // the requester's sequence number
        private long nextStepMicros;  // when to send the ping requests or the nack; afterwards the same as endMicros
        private long endMicros;
        private int indirectProbesSent;
        private final Set<String> nacks = new HashSet<>();
        private boolean escalated;  // whether the ping requests are sent, or, for another's probe, the nack

        Probe(String target, String requester, long sequence, long nextStepMicros, long endMicros) {
            this.target = target;
            this.requester = requester;
            this.sequence = sequence;
            this.nextStepMicros = nextStepMicros;
            this.endMicros = endMicros;
        }
    }

    private final MembershipSettings settings;
    private final Actions actions;
    private final Random random;
    private final Map<String, TrackedMember> members = new TreeMap<>();
    private final Set<String> configuredNames = new LinkedHashSet<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private Member self;
    private long incarnation;
    private boolean nameTaken;
    private boolean leaving;
    private long nameTakenGeneration;
    private boolean syncReceived;
    private long lastSequence;
    private int healthScore;
    private long nextProbeMicros;
    private long nextSyncMicros;
    private long nextReconnectMicros;
    private long nextTickMicros;  // when tick has to be called at the latest

    /**
     * For a gateway in one generation; {@code seed} determines the order of probes. Call {@link #tick} first, and again
     * by {@link #nextTickMicros}.
     */
    public MembershipList(Member self, MembershipSettings settings, long seed, long nowMicros, Actions actions) {
        this.self = self;
        this.settings = settings;
        this.actions = actions;
        random = new Random(seed);
        nextProbeMicros = nowMicros;
        nextSyncMicros = nowMicros + settings.syncIntervalMicros();
        nextReconnectMicros = nowMicros;
        nextTickMicros = nowMicros;
        lastSequence = random.nextInt(1 << 20);
    }

    // ---- queries

    /** This gateway's description of itself. */
    public Member self() {
        return self;
    }

    /**
     * Whether another gateway uses this gateway's name: it then sends its peers only empty requests for their lists.
     */
    public boolean nameTaken() {
        return nameTaken;
    }

    /** This gateway's local health score: 0 is healthy, {@value #MAX_HEALTH_SCORE} the worst. */
    public int healthScore() {
        return healthScore;
    }

    /** All known gateways except this one, by name. */
    public List<Entry> entries() {
        return members.values().stream().map(each -> new Entry(each.update, each.stateSinceMicros,
                each.lastHeardMicros)).toList();
    }

    /** The entry of one gateway; null if it isn't known. */
    public Entry entry(String name) {
        TrackedMember member = members.get(name);
        return member == null ? null : new Entry(member.update, member.stateSinceMicros, member.lastHeardMicros);
    }

    /** Number of gateways that are alive or suspect, this one included. */
    public int present() {
        int present = 1;
        for (TrackedMember each : members.values()) {
            present += present(each) ? 1 : 0;
        }
        return present;
    }

    private static boolean present(TrackedMember member) {
        return member.update.state() == MemberState.ALIVE || member.update.state() == MemberState.SUSPECT;
    }

    // ---- events

    /** Replaces the names of the gateways that are configured, whether they are present or not. */
    public void setConfiguredNames(Collection<String> names) {
        configuredNames.clear();
        names.stream().filter(name -> !name.equals(self.name())).limit(MAX_GATEWAYS).forEach(configuredNames::add);
    }

    /** Changes this gateway's build or settings fingerprint, in a new incarnation. */
    public void updateSelf(String build, String settingsFingerprint) {
        self = new Member(self.name(), self.generation(), self.zone(), build, settingsFingerprint);
        incarnation++;
    }

    /** When {@link #tick} has to be called at the latest. */
    public long nextTickMicros() {
        return nextTickMicros;
    }

    /** Runs what is due: time-outs of probes and suspicions, reconnects, anti-entropy and the next probe. */
    public void tick(long nowMicros) {
        compensateForPause(nowMicros);
        checkProbes(nowMicros);
        checkSuspicions(nowMicros);
        if (!leaving) {
            reconnect(nowMicros);
            if (nowMicros >= nextSyncMicros) {
                nextSyncMicros = nowMicros + settings.syncIntervalMicros();
                String other = randomAliveMember(Set.of());
                if (other != null) {
                    send(other, new PeerMessage.Sync(true, allUpdates()));
                }
            }
            if (nowMicros >= nextProbeMicros) {
                startProbe(nowMicros);
            }
        }
        removeExpired(nowMicros);
        scheduleNextTick(nowMicros);
    }

    /** Handles a message from a gateway in one of its generations; the caller has authenticated the sender. */
    public void received(long nowMicros, String from, long generation, PeerMessage message) {
        compensateForPause(nowMicros);
        if (!from.equals(self.name())) {
            for (Update update : message.updates()) {
                apply(nowMicros, update);
            }
            TrackedMember sender = members.get(from);
            if (sender != null && sender.update.member().generation() == generation) {
                sender.lastHeardMicros = nowMicros;
            }
            if (!leaving) {
                handle(nowMicros, from, generation, message);
            }
        }
        scheduleNextTick(nowMicros);
    }

    /**
     * Leaves the group: announces that to the present members, or to some of them where there are more than four times
     * {@link PeerMessage#MAX_UPDATES}, and answers no more messages.
     */
    public void leave() {
        leaving = true;
        List<Update> lastUpdates = List.of(new Update(self, incarnation, MemberState.LEFT, self.name()));
        List<String> others = new ArrayList<>(members.keySet().stream().filter(name -> present(members.get(name)))
                .toList());
        Collections.shuffle(others, random);
        others.stream().limit(PeerMessage.MAX_UPDATES * 4L).forEach(name ->
                send(name, new PeerMessage.Sync(false, lastUpdates)));
    }

    /**
     * Moves all deadlines if the call came later than requested by more than an ack timeout: messages that arrived
     * during the pause may still be unread, so nobody is suspected for it. Raises the own health score.
     */
    private void compensateForPause(long nowMicros) {
        long lateMicros = nowMicros - nextTickMicros;
        if (lateMicros <= settings.ackTimeoutMicros()) {
            return;
        }
        nextTickMicros = nowMicros;
        worsenHealth(1);
        nextProbeMicros += lateMicros;
        nextSyncMicros += lateMicros;
        probes.values().forEach(each -> {
            each.nextStepMicros += lateMicros;
            each.endMicros += lateMicros;
        });
        members.values().forEach(each -> each.suspectedAtMicros += lateMicros);
    }

    private void scheduleNextTick(long nowMicros) {
        long nextMicros = Math.min(Math.min(nextProbeMicros, nextSyncMicros), nextReconnectMicros);
        for (Probe each : probes.values()) {
            nextMicros = Math.min(nextMicros, Math.min(each.nextStepMicros, each.endMicros));
        }
        nextTickMicros = leaving ? Long.MAX_VALUE : Math.min(nextMicros, nowMicros + settings.probeIntervalMicros());
    }

    // ---- probing

    private long scaledByHealth(long micros) {
        return micros * (1 + healthScore);
    }

    private void startProbe(long nowMicros) {
        nextProbeMicros = nowMicros + scaledByHealth(settings.probeIntervalMicros());
        if (nameTaken) {
            return;
        }
        String target = nextProbeTarget();
        if (target == null) {
            return;
        }
        long sequence = ++lastSequence;
        probes.put(sequence, new Probe(target, null, sequence,
                nowMicros + scaledByHealth(settings.ackTimeoutMicros()),
                nowMicros + scaledByHealth(settings.probeIntervalMicros())));
        send(target, new PeerMessage.Ping(sequence, piggybackedUpdates(target)));
    }

    /** Round robin over the present members, reshuffled each round (SWIM, section 4.3). */
    private String nextProbeTarget() {
        for (int remainingTries = members.size() + 1; remainingTries > 0; remainingTries--) {
            if (probeOrder.isEmpty()) {
                members.forEach((name, member) -> {
                    if (present(member)) {
                        probeOrder.add(name);
                    }
                });
                Collections.shuffle(probeOrder, random);
            }
            if (probeOrder.isEmpty()) {
                return null;
            }
            String name = probeOrder.remove(probeOrder.size() - 1);
            TrackedMember member = members.get(name);
            if (member != null && present(member)) {
                return name;
            }
        }
        return null;
    }

    private void checkProbes(long nowMicros) {
        for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
            Probe probe = entry.getValue();
            if (probe.requester != null) {
                if (nowMicros >= probe.nextStepMicros && !probe.escalated) {
                    probe.escalated = true;
                    probe.nextStepMicros = probe.endMicros;
                    send(probe.requester, new PeerMessage.Nack(probe.sequence, List.of()));
                }
                if (nowMicros >= probe.endMicros) {
                    probes.remove(entry.getKey());
                }
            } else if (nowMicros >= probe.endMicros) {
                probes.remove(entry.getKey());
                handleProbeTimeout(nowMicros, probe);
            } else if (nowMicros >= probe.nextStepMicros && !probe.escalated) {
                probe.escalated = true;
                probe.nextStepMicros = probe.endMicros;
                Set<String> excluded = new HashSet<>(Set.of(probe.target));
                for (int i = 0; i < settings.indirectProbes(); i++) {
                    String other = randomAliveMember(excluded);
                    if (other != null) {
                        excluded.add(other);
                        probe.indirectProbesSent++;
                        send(other, new PeerMessage.PingRequest(entry.getKey(), probe.target,
                                piggybackedUpdates(other)));
                    }
                }
            }
        }
    }

    private void handleProbeTimeout(long nowMicros, Probe probe) {
        // Asked members that sent not even a nack: it may be this gateway that doesn't receive.
        worsenHealth(probe.indirectProbesSent == 0 ? 1 : probe.indirectProbesSent - probe.nacks.size());
        TrackedMember member = members.get(probe.target);
        if (member != null && member.update.state() == MemberState.ALIVE) {
            apply(nowMicros, new Update(member.update.member(), member.update.incarnation(), MemberState.SUSPECT,
                    self.name()));
        } else if (member != null && member.update.state() == MemberState.SUSPECT) {
            addConfirmation(member, self.name());
        }
    }

    private void worsenHealth(int amount) {
        healthScore = Math.min(MAX_HEALTH_SCORE, healthScore + Math.max(0, amount));
    }

    private void improveHealth() {
        healthScore = Math.max(0, healthScore - 1);
    }

    private void handle(long nowMicros, String from, long generation, PeerMessage message) {
        if (message instanceof PeerMessage.Ping ping) {
            send(from, new PeerMessage.Ack(ping.sequence(), piggybackedUpdates(from)));
        } else if (message instanceof PeerMessage.Ack ack) {
            Probe probe = probes.get(ack.sequence());
            if (probe != null && (probe.requester == null || probe.target.equals(from))
                    && isFromProbedGeneration(probe, from, generation)) {
                probes.remove(ack.sequence());
                if (probe.requester == null) {
                    improveHealth();
                } else {
                    send(probe.requester, new PeerMessage.Ack(probe.sequence, List.of()));
                }
            }
        } else if (message instanceof PeerMessage.Nack nack) {
            Probe probe = probes.get(nack.sequence());
            if (probe != null && probe.requester == null) {
                probe.nacks.add(from);
            }
        } else if (message instanceof PeerMessage.PingRequest request) {
            if (members.containsKey(request.target()) && probes.size() < MAX_PROBES) {
                long sequence = ++lastSequence;
                long indirectMicros = settings.probeIntervalMicros() - settings.ackTimeoutMicros();
                probes.put(sequence, new Probe(request.target(), from, request.sequence(),
                        nowMicros + (long) (indirectMicros * NACK_TIMEOUT_FRACTION),
                        nowMicros + 2 * settings.probeIntervalMicros()));
                send(request.target(), new PeerMessage.Ping(sequence, piggybackedUpdates(request.target())));
            }
        } else if (message instanceof PeerMessage.Sync sync) {
            syncReceived = true;
            if (sync.replyRequested()) {
                send(from, new PeerMessage.Sync(false, allUpdates()));
            }
        }
    }

    /**
     * Whether the ack is from the probed generation or a later one: an earlier process at the target's address doesn't
     * prove that the target is alive.
     */
    private boolean isFromProbedGeneration(Probe probe, String from, long generation) {
        TrackedMember member = members.get(probe.target);
        return !from.equals(probe.target) || member == null || member.update.member().generation() <= generation;
    }

    // ---- joining and reconnecting

    private void reconnect(long nowMicros) {
        if (nowMicros < nextReconnectMicros) {
            return;
        }
        List<String> unreachable = new ArrayList<>();
        for (String name : configuredNames) {
            if (!members.containsKey(name)) {
                unreachable.add(name);
            }
        }
        members.forEach((name, member) -> {
            if (member.update.state() == MemberState.FAULTY || nameTaken) {
                unreachable.add(name);
            }
        });
        nextReconnectMicros = nowMicros + (syncReceived && !nameTaken
                ? settings.reconnectIntervalMicros()
                : Math.min(settings.reconnectIntervalMicros(), JOIN_INTERVAL_MICROS));
        if (!unreachable.isEmpty()) {
            String name = unreachable.get(random.nextInt(unreachable.size()));
            actions.send(name, new PeerMessage.Sync(true, nameTaken ? List.of() : allUpdates()));
        }
    }

    // ---- dissemination

    private void send(String to, PeerMessage message) {
        if (!nameTaken) {
            actions.send(to, message);
        }
    }

    private Update ownUpdate() {
        return new Update(self, incarnation, MemberState.ALIVE, self.name());
    }

    private List<Update> allUpdates() {
        List<Update> updates = new ArrayList<>(members.size() + 1);
        updates.add(ownUpdate());
        members.values().forEach(each -> updates.add(each.update));
        return updates;
    }

    /**
     * The updates to piggyback on a message: those that were sent least often first. A recipient that is not alive here
     * is always told so, before all others (Lifeguard's buddy system, section IV.C).
     */
    private List<Update> piggybackedUpdates(String to) {
        int maxTransmissions = (int) Math.ceil(RETRANSMIT_FACTOR * Math.log10(members.size() + 2.0)) + 1;
        List<TrackedMember> selected = new ArrayList<>();
        TrackedMember recipient = members.get(to);
        if (recipient != null && recipient.update.state() != MemberState.ALIVE) {
            selected.add(recipient);
        }
        members.values().stream().filter(each -> each.transmissions < maxTransmissions && each != recipient)
                .sorted(Comparator.comparingInt(each -> each.transmissions))
                .limit(PeerMessage.MAX_UPDATES - 2L).forEach(selected::add);
        List<Update> updates = new ArrayList<>();
        updates.add(ownUpdate());
        selected.forEach(each -> {
            each.transmissions = Math.min(maxTransmissions, each.transmissions + 1);
            updates.add(each.update);
        });
        return updates;
    }

    private String randomAliveMember(Set<String> excluded) {
        List<String> names = new ArrayList<>();
        members.forEach((name, member) -> {
            if (member.update.state() == MemberState.ALIVE && !excluded.contains(name)) {
                names.add(name);
            }
        });
        return names.isEmpty() ? null : names.get(random.nextInt(names.size()));
    }

    private void apply(long nowMicros, Update update) {
        String name = update.member().name();
        if (name.equals(self.name())) {
            applyToSelf(nowMicros, update);
            return;
        }
        TrackedMember member = members.get(name);
        if (member == null) {
            // An ended member that was forgotten, or never known, is not added: the update would circulate for ever.
            if (update.state() == MemberState.FAULTY || update.state() == MemberState.LEFT
                    || members.size() + 1 >= MAX_GATEWAYS) {
                return;
            }
            member = new TrackedMember();
            members.put(name, member);
            probeOrder.add(random.nextInt(probeOrder.size() + 1), name);
            replaceUpdate(nowMicros, member, update, Event.JOINED);
        } else if (update.overrides(member.update)) {
            replaceUpdate(nowMicros, member, update, eventOf(member.update, update));
        } else if (update.state() == MemberState.SUSPECT && member.update.state() == MemberState.SUSPECT
                && update.member().generation() == member.update.member().generation()
                && update.incarnation() == member.update.incarnation()) {
            addConfirmation(member, update.reporter());
        }
    }

    private static Event eventOf(Update previous, Update nowMicros) {
        boolean newGeneration = nowMicros.member().generation() != previous.member().generation();
        return switch (nowMicros.state()) {
            case ALIVE -> newGeneration ? Event.RESTARTED : previous.state() == MemberState.FAULTY ? Event.RETURNED
                    : previous.state() == MemberState.SUSPECT ? Event.REFUTED : null;
            case SUSPECT -> Event.SUSPECTED;
            case FAULTY -> Event.GONE;
            case LEFT -> Event.LEFT;
        };
    }

    private void replaceUpdate(long nowMicros, TrackedMember member, Update update, Event event) {
        if (member.update == null || member.update.state() != update.state()
                || member.update.member().generation() != update.member().generation()) {
            member.stateSinceMicros = nowMicros;
        }
        member.update = update;
        member.transmissions = 0;
        member.suspectedBy.clear();
        if (update.state() == MemberState.SUSPECT) {
            member.suspectedAtMicros = nowMicros;
            member.suspectedBy.add(update.reporter());
        }
        if (event != null) {
            actions.event(event, update);
        }
    }

    /**
     * Records one more member that suspects this one; disseminated too, up to the number of confirmations that shorten
     * the suspicion timeout.
     */
    private void addConfirmation(TrackedMember member, String reporter) {
        if (member.suspectedBy.size() < MAX_SUSPECTING_MEMBERS && member.suspectedBy.add(reporter)
                && member.suspectedBy.size() - 1 <= settings.confirmations()) {
            member.update = new Update(member.update.member(), member.update.incarnation(), MemberState.SUSPECT,
                    reporter);
            member.transmissions = 0;
        }
    }

    private void checkSuspicions(long nowMicros) {
        if (nameTaken) {
            return;
        }
        int gateways = present();
        for (TrackedMember each : List.copyOf(members.values())) {
            if (each.update.state() != MemberState.SUSPECT
                    || nowMicros - each.suspectedAtMicros < scaledByHealth(settings.suspicionMicros(gateways,
                    each.suspectedBy.size() - 1))) {
                continue;
            }
            if (each.lastHeardMicros > each.suspectedAtMicros) {
                each.suspectedAtMicros = nowMicros;  // it sends, though it may not receive: that is not faulty
            } else {
                replaceUpdate(nowMicros, each, new Update(each.update.member(), each.update.incarnation(),
                        MemberState.FAULTY, self.name()), Event.GONE);
            }
        }
    }

    private void applyToSelf(long nowMicros, Update update) {
        long generation = update.member().generation();
        boolean ended = update.state() == MemberState.FAULTY || update.state() == MemberState.LEFT;
        if (generation > self.generation()) {
            if (ended) {  // an earlier start of this gateway, by a clock that was ahead
                self = new Member(self.name(), generation + 1, self.zone(), self.build(), self.settingsFingerprint());
                incarnation = 0;
                reclaimName();
            } else if (!nameTaken) {
                nameTaken = true;
                nameTakenGeneration = generation;
                probes.clear();
                actions.event(Event.NAME_TAKEN, update);
            } else {
                nameTakenGeneration = Math.max(nameTakenGeneration, generation);
            }
        } else if (generation == self.generation() && !leaving && update.state() != MemberState.ALIVE
                && update.incarnation() >= incarnation) {
            incarnation = update.incarnation() + 1;
            worsenHealth(1);
        }
    }

    private void reclaimName() {
        if (nameTaken && self.generation() > nameTakenGeneration) {
            nameTaken = false;
            actions.event(Event.NAME_FREE, ownUpdate());
        }
    }

    private void removeExpired(long nowMicros) {
        members.values()
                .removeIf(each -> !present(each) && nowMicros - each.stateSinceMicros > settings.retentionMicros());
    }
}
