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
 * Which gateways are there: SWIM (Das, Gupta, Motivala, "SWIM: Scalable weakly-consistent infection-style process group membership protocol", 2002)
 * with Lifeguard's local health, suspicions and buddies (Dadgar, Phillips, Currey, "Lifeguard: Local health awareness for more accurate failure
 * detection", 2018).
 *
 * <p>Once an interval it probes one other member, each in its turn, and has some more probe it where the ack is late. Who gives none is suspected, and faulty if it
 * doesn't refute that in time. Costs one probe an interval, however many there are; updates are piggybacked on what is sent anyway.
 *
 * <p>A gateway that is starved or was stopped doubts itself first. It probes less often and waits longer the worse it does (local health, 0 to
 * {@value #HEALTH_MOST}). And time in which it did not run at all is not held against anybody: whoever comes later than it wanted to moves all that it
 * waits for by as much, since answers may be lying unread.
 *
 * <p>Beyond the papers: what it believes is exchanged whole now and then (anti-entropy); who is faulty is tried again and again, or two halves that were cut apart would
 * never meet; and what wins is one total order ({@link Update}).
 *
 * <p>A start with a generation below one that its peers remember, because a clock was set back and the folder lost, takes a larger one as soon as that generation is
 * faulty. Where it goes on answering, the name is taken: this gateway says so and says nothing else to its peers. Of two with one name the later wins.
 *
 * <p>Bounded: {@value #GATEWAYS_MOST} gateways, {@link PeerMessage#UPDATES_MOST} updates a message, {@value #PROBES_MOST} probes for others. No I/O, no thread, no clock; not safe
 * for use by several threads. Times are microseconds of one clock that doesn't run back.
 */
public final class MembershipList {

    /** Gateways that it knows of, itself among them; further ones are not heard. */
    public static final int GATEWAYS_MOST = 2_000;
    /** Local health: 0 is well. */
    public static final int HEALTH_MOST = 8;
    /** Probes at a time beyond which it makes none for others. */
    public static final int PROBES_MOST = 256;
    private static final int SEEN_MOST = 64;  // those who suspect the same one, as far as they count
    private static final int RETRANSMIT_FACTOR = 4;  // the lambda of SWIM, section 4.1
    private static final long JOIN_EVERY = 500_000;
    private static final double NACK_PART = 0.8;  // of the time of a probe for another, then that one is told that there is no ack yet

    /** What it wants done. Called in the middle of an event: what it leads to comes as another. */
    public interface Actions {
        /** A message to a gateway; whether it arrives is not known. */
        void send(String to, PeerMessage message);

        /** Something happened to a gateway. */
        void event(Event event, Update of);
    }

    /** What may happen to a gateway, by names that stay. */
    public enum Event {
        /** It is there and was not before. */
        JOINED,
        /** It started anew; the generation before is over. */
        RESTARTED,
        /** Somebody has no answer from it. */
        SUSPECTED,
        /** It answers after all. */
        REFUTED,
        /** It did not contradict in time. */
        GONE,
        /** It is there again, in the generation that was called gone. */
        RETURNED,
        /** It said that it ends. */
        LEFT,
        /** Another gateway has this one's name. */
        NAME_TAKEN,
        /** This one has its name for itself now. */
        NAME_FREE
    }

    /**
     * A gateway as this one sees it: an entry of the list.
     *
     * @param update what is believed
     * @param since when that began, by the own clock
     * @param heardAt when it last said something to this one; 0 for never
     */
    public record Entry(Update update, long since, long heardAt) { }

    private static final class Tracked {
        private Update update;
        private long since;
        private long heardAt;
        private long suspectedAt;
        private final Set<String> suspectedBy = new LinkedHashSet<>();
        private int transmissions = Integer.MAX_VALUE;  // of this update; that many when there is nothing to tell
    }

    /** A probe of another member, or one on behalf of another. */
    private static final class Probe {
        private final String target;
        private final String requester;  // null for one of its own
        private final long sequence;  // of the requester
        private long due;  // the next step is due
        private long over;
        private int asked;
        private final Set<String> nacks = new HashSet<>();
        private boolean passedOn;  // to others; or back, that there is no ack yet

        Probe(String target, String requester, long sequence, long due, long over) {
            this.target = target;
            this.requester = requester;
            this.sequence = sequence;
            this.due = due;
            this.over = over;
        }
    }

    private final MembershipSettings settings;
    private final Actions actions;
    private final Random random;
    private final Map<String, Tracked> known = new TreeMap<>();
    private final Set<String> configured = new LinkedHashSet<>();
    private final Map<Long, Probe> probes = new HashMap<>();
    private final List<String> probeOrder = new ArrayList<>();
    private Member self;
    private long incarnation;
    private boolean taken;
    private boolean leaving;
    private long takenBy;
    private boolean joined;
    private long lastSequence;
    private int health;
    private long probeAt;
    private long syncAt;
    private long reconnectAt;
    private long wanted;  // when it wanted to be called at the latest

    /** Of a gateway in one generation; {@code seed} is for whom it probes. {@link #tick} comes first, and again by {@link #dueAt}. */
    public MembershipList(Member self, MembershipSettings settings, long seed, long now, Actions actions) {
        this.self = self;
        this.settings = settings;
        this.actions = actions;
        random = new Random(seed);
        probeAt = now;
        syncAt = now + settings.sync();
        reconnectAt = now;
        wanted = now;
        lastSequence = random.nextInt(1 << 20);
    }

    // ---- what is known

    /** What it says of itself. */
    public Member self() {
        return self;
    }

    /** Whether another has its name: it says nothing to its peers then. */
    public boolean nameTaken() {
        return taken;
    }

    /** How badly this gateway itself does: 0 is well, {@value #HEALTH_MOST} the worst. */
    public int health() {
        return health;
    }

    /** All gateways that it knows of but itself, by name. */
    public List<Entry> entries() {
        return known.values().stream().map(each -> new Entry(each.update, each.since, each.heardAt)).toList();
    }

    /** What it believes of one; null where it knows none of that name. */
    public Entry entry(String name) {
        Tracked of = known.get(name);
        return of == null ? null : new Entry(of.update, of.since, of.heardAt);
    }

    /** Gateways that it takes for there, suspected ones among them, and itself. */
    public int present() {
        int present = 1;
        for (Tracked each : known.values()) {
            present += present(each) ? 1 : 0;
        }
        return present;
    }

    private static boolean present(Tracked of) {
        return of.update.state() == MemberState.ALIVE || of.update.state() == MemberState.SUSPECT;
    }

    // ---- events

    /** Names that the operator's file has, whether they are there or not; replaces those before. */
    public void configured(Collection<String> names) {
        configured.clear();
        names.stream().filter(name -> !name.equals(self.name())).limit(GATEWAYS_MOST).forEach(configured::add);
    }

    /** Its own fingerprint has changed, or its build's name. */
    public void changed(String build, String fingerprint) {
        self = new Member(self.name(), self.generation(), self.zone(), build, fingerprint);
        incarnation++;
    }

    /** When it wants to be called at the latest. */
    public long dueAt() {
        return wanted;
    }

    /** Time has passed. */
    public void tick(long now) {
        stopped(now);
        checkProbes(now);
        checkSuspicions(now);
        if (!leaving) {
            reconnect(now);
            if (now >= syncAt) {
                syncAt = now + settings.sync();
                String other = randomPresent(Set.of());
                if (other != null) {
                    send(other, new PeerMessage.Sync(true, all()));
                }
            }
            if (now >= probeAt) {
                probe(now);
            }
        }
        forget(now);
        wants(now);
    }

    /** A message has come from a gateway, in one of its generations; that it is that gateway has been checked. */
    public void received(long now, String from, long generation, PeerMessage message) {
        stopped(now);
        if (!from.equals(self.name())) {
            for (Update update : message.updates()) {
                apply(now, update);
            }
            Tracked sender = known.get(from);
            if (sender != null && sender.update.member().generation() == generation) {
                sender.heardAt = now;
            }
            if (!leaving) {
                handle(now, from, generation, message);
            }
        }
        wants(now);
    }

    /** It ends: says so to those that are there, or to some of them where they are many, and answers nobody any more. */
    public void leave() {
        leaving = true;
        List<Update> last = List.of(new Update(self, incarnation, MemberState.LEFT, self.name()));
        List<String> others = new ArrayList<>(known.keySet().stream().filter(name -> present(known.get(name))).toList());
        Collections.shuffle(others, random);
        others.stream().limit(PeerMessage.UPDATES_MOST * 4L).forEach(name -> send(name, new PeerMessage.Sync(false, last)));
    }

    /** It came later than it wanted to: nobody else is to blame for what was not heard meanwhile, and it does badly itself. */
    private void stopped(long now) {
        long late = now - wanted;
        if (late <= settings.timeout()) {
            return;
        }
        wanted = now;
        worse(1);
        probeAt += late;
        syncAt += late;
        probes.values().forEach(each -> {
            each.due += late;
            each.over += late;
        });
        known.values().forEach(each -> each.suspectedAt += late);
    }

    private void wants(long now) {
        long next = Math.min(Math.min(probeAt, syncAt), reconnectAt);
        for (Probe each : probes.values()) {
            next = Math.min(next, Math.min(each.due, each.over));
        }
        wanted = leaving ? Long.MAX_VALUE : Math.min(next, now + settings.interval());
    }

    // ---- probing

    private long slowly(long span) {
        return span * (1 + health);
    }

    private void probe(long now) {
        probeAt = now + slowly(settings.interval());
        if (taken) {
            return;
        }
        String target = nextTarget();
        if (target == null) {
            return;
        }
        long sequence = ++lastSequence;
        probes.put(sequence, new Probe(target, null, sequence, now + slowly(settings.timeout()), now + slowly(settings.interval())));
        send(target, new PeerMessage.Ping(sequence, piggyback(target)));
    }

    /** Everybody in turn, in an order drawn anew each round (SWIM, section 4.3). */
    private String nextTarget() {
        for (int tries = known.size() + 1; tries > 0; tries--) {
            if (probeOrder.isEmpty()) {
                known.forEach((name, of) -> {
                    if (present(of)) {
                        probeOrder.add(name);
                    }
                });
                Collections.shuffle(probeOrder, random);
            }
            if (probeOrder.isEmpty()) {
                return null;
            }
            String name = probeOrder.remove(probeOrder.size() - 1);
            Tracked of = known.get(name);
            if (of != null && present(of)) {
                return name;
            }
        }
        return null;
    }

    private void checkProbes(long now) {
        for (Map.Entry<Long, Probe> entry : List.copyOf(probes.entrySet())) {
            Probe each = entry.getValue();
            if (each.requester != null) {
                if (now >= each.due && !each.passedOn) {
                    each.passedOn = true;
                    each.due = each.over;
                    send(each.requester, new PeerMessage.Nack(each.sequence, List.of()));
                }
                if (now >= each.over) {
                    probes.remove(entry.getKey());
                }
            } else if (now >= each.over) {
                probes.remove(entry.getKey());
                failed(now, each);
            } else if (now >= each.due && !each.passedOn) {
                each.passedOn = true;
                each.due = each.over;
                Set<String> asked = new HashSet<>(Set.of(each.target));
                for (int i = 0; i < settings.indirectProbes(); i++) {
                    String other = randomPresent(asked);
                    if (other != null) {
                        asked.add(other);
                        each.asked++;
                        send(other, new PeerMessage.PingRequest(entry.getKey(), each.target, piggyback(other)));
                    }
                }
            }
        }
    }

    private void failed(long now, Probe each) {
        // Those who were asked and did not even say that they have no ack: it may be this one that doesn't hear.
        worse(each.asked == 0 ? 1 : each.asked - each.nacks.size());
        Tracked of = known.get(each.target);
        if (of != null && of.update.state() == MemberState.ALIVE) {
            apply(now, new Update(of.update.member(), of.update.incarnation(), MemberState.SUSPECT, self.name()));
        } else if (of != null && of.update.state() == MemberState.SUSPECT) {
            confirm(of, self.name());
        }
    }

    private void worse(int by) {
        health = Math.min(HEALTH_MOST, health + Math.max(0, by));
    }

    private void better() {
        health = Math.max(0, health - 1);
    }

    private void handle(long now, String from, long generation, PeerMessage message) {
        if (message instanceof PeerMessage.Ping ping) {
            send(from, new PeerMessage.Ack(ping.sequence(), piggyback(from)));
        } else if (message instanceof PeerMessage.Ack ack) {
            Probe each = probes.get(ack.sequence());
            if (each != null && (each.requester == null || each.target.equals(from)) && acknowledged(each, from, generation)) {
                probes.remove(ack.sequence());
                if (each.requester == null) {
                    better();
                } else {
                    send(each.requester, new PeerMessage.Ack(each.sequence, List.of()));
                }
            }
        } else if (message instanceof PeerMessage.Nack nack) {
            Probe each = probes.get(nack.sequence());
            if (each != null && each.requester == null) {
                each.nacks.add(from);
            }
        } else if (message instanceof PeerMessage.PingRequest request) {
            if (known.containsKey(request.target()) && probes.size() < PROBES_MOST) {
                long sequence = ++lastSequence;
                long span = settings.interval() - settings.timeout();
                probes.put(sequence, new Probe(request.target(), from, request.sequence(), now + (long) (span * NACK_PART), now + 2 * settings.interval()));
                send(request.target(), new PeerMessage.Ping(sequence, piggyback(request.target())));
            }
        } else if (message instanceof PeerMessage.Sync sync) {
            joined = true;
            if (sync.wanted()) {
                send(from, new PeerMessage.Sync(false, all()));
            }
        }
    }

    /** Whether the ack is by the generation that was probed: another one at its place is no sign of it. */
    private boolean acknowledged(Probe each, String from, long generation) {
        Tracked of = known.get(each.target);
        return !from.equals(each.target) || of == null || of.update.member().generation() <= generation;
    }

    // ---- joining, and meeting again

    private void reconnect(long now) {
        if (now < reconnectAt) {
            return;
        }
        List<String> away = new ArrayList<>();
        for (String name : configured) {
            if (!known.containsKey(name)) {
                away.add(name);
            }
        }
        known.forEach((name, of) -> {
            if (of.update.state() == MemberState.FAULTY || taken) {
                away.add(name);
            }
        });
        reconnectAt = now + (joined && !taken ? settings.reconnect() : Math.min(settings.reconnect(), JOIN_EVERY));
        if (!away.isEmpty()) {
            String name = away.get(random.nextInt(away.size()));
            actions.send(name, new PeerMessage.Sync(true, taken ? List.of() : all()));
        }
    }

    // ---- dissemination

    private void send(String to, PeerMessage message) {
        if (!taken) {
            actions.send(to, message);
        }
    }

    private Update own() {
        return new Update(self, incarnation, MemberState.ALIVE, self.name());
    }

    private List<Update> all() {
        List<Update> all = new ArrayList<>(known.size() + 1);
        all.add(own());
        known.values().forEach(each -> all.add(each.update));
        return all;
    }

    /** What was sent least often goes first; to one who is suspected, that it is, before all (Lifeguard's buddies, section IV.C). */
    private List<Update> piggyback(String to) {
        int most = (int) Math.ceil(RETRANSMIT_FACTOR * Math.log10(known.size() + 2.0)) + 1;
        List<Tracked> fresh = new ArrayList<>();
        Tracked other = known.get(to);
        if (other != null && other.update.state() != MemberState.ALIVE) {
            fresh.add(other);
        }
        known.values().stream().filter(each -> each.transmissions < most && each != other).sorted(Comparator.comparingInt(each -> each.transmissions))
                .limit(PeerMessage.UPDATES_MOST - 2L).forEach(fresh::add);
        List<Update> updates = new ArrayList<>();
        updates.add(own());
        fresh.forEach(each -> {
            each.transmissions = Math.min(most, each.transmissions + 1);
            updates.add(each.update);
        });
        return updates;
    }

    private String randomPresent(Set<String> but) {
        List<String> names = new ArrayList<>();
        known.forEach((name, of) -> {
            if (of.update.state() == MemberState.ALIVE && !but.contains(name)) {
                names.add(name);
            }
        });
        return names.isEmpty() ? null : names.get(random.nextInt(names.size()));
    }

    private void apply(long now, Update update) {
        String name = update.member().name();
        if (name.equals(self.name())) {
            applyToSelf(now, update);
            return;
        }
        Tracked of = known.get(name);
        if (of == null) {
            // What is over and was forgotten, or never known, is no news: it would go round for good.
            if (update.state() == MemberState.FAULTY || update.state() == MemberState.LEFT || known.size() + 1 >= GATEWAYS_MOST) {
                return;
            }
            of = new Tracked();
            known.put(name, of);
            probeOrder.add(random.nextInt(probeOrder.size() + 1), name);
            become(now, of, update, Event.JOINED);
        } else if (update.overrides(of.update)) {
            become(now, of, update, event(of.update, update));
        } else if (update.state() == MemberState.SUSPECT && of.update.state() == MemberState.SUSPECT
                && update.member().generation() == of.update.member().generation() && update.incarnation() == of.update.incarnation()) {
            confirm(of, update.by());
        }
    }

    private static Event event(Update before, Update now) {
        boolean anew = now.member().generation() != before.member().generation();
        return switch (now.state()) {
            case ALIVE -> anew ? Event.RESTARTED : before.state() == MemberState.FAULTY ? Event.RETURNED
                    : before.state() == MemberState.SUSPECT ? Event.REFUTED : null;
            case SUSPECT -> Event.SUSPECTED;
            case FAULTY -> Event.GONE;
            case LEFT -> Event.LEFT;
        };
    }

    private void become(long now, Tracked of, Update update, Event event) {
        if (of.update == null || of.update.state() != update.state() || of.update.member().generation() != update.member().generation()) {
            of.since = now;
        }
        of.update = update;
        of.transmissions = 0;
        of.suspectedBy.clear();
        if (update.state() == MemberState.SUSPECT) {
            of.suspectedAt = now;
            of.suspectedBy.add(update.by());
        }
        if (event != null) {
            actions.event(event, update);
        }
    }

    /** One more has no answer from it: that is news too, up to the number of confirmations that counts. */
    private void confirm(Tracked of, String by) {
        if (of.suspectedBy.size() < SEEN_MOST && of.suspectedBy.add(by) && of.suspectedBy.size() - 1 <= settings.confirmations()) {
            of.update = new Update(of.update.member(), of.update.incarnation(), MemberState.SUSPECT, by);
            of.transmissions = 0;
        }
    }

    private void checkSuspicions(long now) {
        if (taken) {
            return;
        }
        int gateways = present();
        for (Tracked each : List.copyOf(known.values())) {
            if (each.update.state() != MemberState.SUSPECT
                    || now - each.suspectedAt < slowly(settings.suspicion(gateways, each.suspectedBy.size() - 1))) {
                continue;
            }
            if (each.heardAt > each.suspectedAt) {
                each.suspectedAt = now;  // it speaks, though it may not hear: that is not faulty
            } else {
                become(now, each, new Update(each.update.member(), each.update.incarnation(), MemberState.FAULTY, self.name()), Event.GONE);
            }
        }
    }

    private void applyToSelf(long now, Update update) {
        long generation = update.member().generation();
        boolean over = update.state() == MemberState.FAULTY || update.state() == MemberState.LEFT;
        if (generation > self.generation()) {
            if (over) {  // an earlier start of its own, by a clock that was ahead
                self = new Member(self.name(), generation + 1, self.zone(), self.build(), self.settings());
                incarnation = 0;
                free();
            } else if (!taken) {
                taken = true;
                takenBy = generation;
                probes.clear();
                actions.event(Event.NAME_TAKEN, update);
            } else {
                takenBy = Math.max(takenBy, generation);
            }
        } else if (generation == self.generation() && !leaving && update.state() != MemberState.ALIVE && update.incarnation() >= incarnation) {
            incarnation = update.incarnation() + 1;
            worse(1);
        }
    }

    private void free() {
        if (taken && self.generation() > takenBy) {
            taken = false;
            actions.event(Event.NAME_FREE, own());
        }
    }

    private void forget(long now) {
        known.values().removeIf(each -> !present(each) && now - each.since > settings.forget());
    }
}
