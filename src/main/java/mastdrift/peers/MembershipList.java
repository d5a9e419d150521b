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
 * <p>Once an interval it asks one other, each in its turn, and has some more ask where the answer is late. Who gives none is suspected, and gone if it
 * doesn't contradict in time. Costs one question an interval, however many there are; news goes along with what is said anyway.
 *
 * <p>A gateway that is starved or was stopped doubts itself first. It asks less often and waits longer the worse it does (local health, 0 to
 * {@value #HEALTH_MOST}). And time in which it did not run at all is not held against anybody: whoever comes later than it wanted to moves all that it
 * waits for by as much, since answers may be lying unread.
 *
 * <p>Beyond the papers: what it believes is exchanged whole now and then; who is gone is tried again and again, or two halves that were cut apart would
 * never meet; and what wins is one total order ({@link Update}).
 *
 * <p>A start with a life below one that its peers remember, because a clock was set back and the folder lost, takes a larger one as soon as that life is
 * gone. Where it goes on answering, the name is taken: this gateway says so and says nothing else to its peers. Of two with one name the later wins.
 *
 * <p>Bounded: {@value #GATEWAYS_MOST} gateways, {@link PeerMessage#RUMORS_MOST} rumors a word, {@value #PENDING_MOST} questions asked for others. No I/O, no thread, no clock; not safe
 * for use by several threads. Times are microseconds of one clock that doesn't run back.
 */
public final class MembershipList {

    /** Gateways that it knows of, itself among them; further ones are not heard. */
    public static final int GATEWAYS_MOST = 2_000;
    /** Local health: 0 is well. */
    public static final int HEALTH_MOST = 8;
    /** Questions that it asks for others at a time. */
    public static final int PENDING_MOST = 256;
    private static final int SEEN_MOST = 64;  // those who suspect the same one, as far as they count
    private static final int TOLD_TIMES = 4;  // the lambda of SWIM, section 4.1
    private static final long JOIN_EVERY = 500_000;
    private static final double NACK_PART = 0.8;  // of the time of a question for another, then it is told that there is no answer yet

    /** What it wants done. Called in the middle of an event: what it leads to comes as another. */
    public interface Out {
        /** A word to a gateway; whether it arrives is not known. */
        void send(String to, PeerMessage word);

        /** Something happened to a gateway. */
        void event(Event event, Update of);
    }

    /** What may happen to a gateway, by names that stay. */
    public enum Event {
        /** It is there and was not before. */
        JOINED,
        /** It started anew; the life before is over. */
        RESTARTED,
        /** Somebody has no answer from it. */
        SUSPECTED,
        /** It answers after all. */
        REFUTED,
        /** It did not contradict in time. */
        GONE,
        /** It is there again, in the life that was called gone. */
        RETURNED,
        /** It said that it ends. */
        LEFT,
        /** Another gateway has this one's name. */
        NAME_TAKEN,
        /** This one has its name for itself now. */
        NAME_FREE
    }

    /**
     * A gateway as this one sees it.
     *
     * @param rumor what is believed
     * @param since when that began, by the own clock
     * @param heardAt when it last said something to this one; 0 for never
     */
    public record Entry(Update rumor, long since, long heardAt) { }

    private static final class Known {
        private Update rumor;
        private long since;
        private long heardAt;
        private long suspectedAt;
        private final Set<String> suspectedBy = new LinkedHashSet<>();
        private int told = Integer.MAX_VALUE;  // how often; that many when there is nothing to tell
    }

    /** A question to another, or one for another. */
    private static final class Pending {
        private final String target;
        private final String asker;  // null for one of its own
        private final long number;  // of the asker
        private long due;  // the next step is due
        private long over;
        private int asked;
        private final Set<String> nacks = new HashSet<>();
        private boolean passedOn;  // to others; or back, that there is no answer yet

        Pending(String target, String asker, long number, long due, long over) {
            this.target = target;
            this.asker = asker;
            this.number = number;
            this.due = due;
            this.over = over;
        }
    }

    private final MembershipSettings settings;
    private final Out out;
    private final Random random;
    private final Map<String, Known> known = new TreeMap<>();
    private final Set<String> named = new LinkedHashSet<>();
    private final Map<Long, Pending> pending = new HashMap<>();
    private final List<String> round = new ArrayList<>();
    private Member card;
    private long incarnation;
    private boolean taken;
    private boolean leaving;
    private long takenBy;
    private boolean joined;
    private long numbers;
    private int health;
    private long askAt;
    private long syncAt;
    private long reachAt;
    private long wanted;  // when it wanted to be called at the latest

    /** Of a gateway in one life; {@code seed} is for whom it asks. {@link #tick} comes first, and again by {@link #dueAt}. */
    public MembershipList(Member card, MembershipSettings settings, long seed, long now, Out out) {
        this.card = card;
        this.settings = settings;
        this.out = out;
        random = new Random(seed);
        askAt = now;
        syncAt = now + settings.sync();
        reachAt = now;
        wanted = now;
        numbers = random.nextInt(1 << 20);
    }

    // ---- what is known

    /** What it says of itself. */
    public Member card() {
        return card;
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
    public List<Entry> members() {
        return known.values().stream().map(each -> new Entry(each.rumor, each.since, each.heardAt)).toList();
    }

    /** What it believes of one; null where it knows none of that name. */
    public Entry member(String name) {
        Known of = known.get(name);
        return of == null ? null : new Entry(of.rumor, of.since, of.heardAt);
    }

    /** Gateways that it takes for there, suspected ones among them, and itself. */
    public int present() {
        int present = 1;
        for (Known each : known.values()) {
            present += present(each) ? 1 : 0;
        }
        return present;
    }

    private static boolean present(Known of) {
        return of.rumor.standing() == MemberState.ALIVE || of.rumor.standing() == MemberState.SUSPECTED;
    }

    // ---- events

    /** Names that the operator's file has, whether they are there or not; replaces those before. */
    public void named(Collection<String> names) {
        named.clear();
        names.stream().filter(name -> !name.equals(card.name())).limit(GATEWAYS_MOST).forEach(named::add);
    }

    /** Its own fingerprint has changed, or its build's name. */
    public void changed(String build, String fingerprint) {
        card = new Member(card.name(), card.life(), card.zone(), build, fingerprint);
        incarnation++;
    }

    /** When it wants to be called at the latest. */
    public long dueAt() {
        return wanted;
    }

    /** Time has passed. */
    public void tick(long now) {
        stopped(now);
        questions(now);
        suspicions(now);
        if (!leaving) {
            reach(now);
            if (now >= syncAt) {
                syncAt = now + settings.sync();
                String other = anyPresent(Set.of());
                if (other != null) {
                    say(other, new PeerMessage.Sync(true, all()));
                }
            }
            if (now >= askAt) {
                ask(now);
            }
        }
        forget(now);
        wants(now);
    }

    /** A word has come from a gateway, in one of its lives; that it is that gateway has been checked. */
    public void heard(long now, String from, long life, PeerMessage word) {
        stopped(now);
        if (!from.equals(card.name())) {
            for (Update rumor : word.rumors()) {
                learn(now, rumor);
            }
            Known sender = known.get(from);
            if (sender != null && sender.rumor.card().life() == life) {
                sender.heardAt = now;
            }
            if (!leaving) {
                answer(now, from, life, word);
            }
        }
        wants(now);
    }

    /** It ends: says so to those that are there, or to some of them where they are many, and answers nobody any more. */
    public void leave() {
        leaving = true;
        List<Update> last = List.of(new Update(card, incarnation, MemberState.LEFT, card.name()));
        List<String> others = new ArrayList<>(known.keySet().stream().filter(name -> present(known.get(name))).toList());
        Collections.shuffle(others, random);
        others.stream().limit(PeerMessage.RUMORS_MOST * 4L).forEach(name -> say(name, new PeerMessage.Sync(false, last)));
    }

    /** It came later than it wanted to: nobody else is to blame for what was not heard meanwhile, and it does badly itself. */
    private void stopped(long now) {
        long late = now - wanted;
        if (late <= settings.timeout()) {
            return;
        }
        wanted = now;
        worse(1);
        askAt += late;
        syncAt += late;
        pending.values().forEach(each -> {
            each.due += late;
            each.over += late;
        });
        known.values().forEach(each -> each.suspectedAt += late);
    }

    private void wants(long now) {
        long next = Math.min(Math.min(askAt, syncAt), reachAt);
        for (Pending each : pending.values()) {
            next = Math.min(next, Math.min(each.due, each.over));
        }
        wanted = leaving ? Long.MAX_VALUE : Math.min(next, now + settings.interval());
    }

    // ---- asking

    private long slowly(long span) {
        return span * (1 + health);
    }

    private void ask(long now) {
        askAt = now + slowly(settings.interval());
        if (taken) {
            return;
        }
        String target = next();
        if (target == null) {
            return;
        }
        long number = ++numbers;
        pending.put(number, new Pending(target, null, number, now + slowly(settings.timeout()), now + slowly(settings.interval())));
        say(target, new PeerMessage.Ping(number, news(target)));
    }

    /** Everybody in turn, in an order drawn anew each round (SWIM, section 4.3). */
    private String next() {
        for (int tries = known.size() + 1; tries > 0; tries--) {
            if (round.isEmpty()) {
                known.forEach((name, of) -> {
                    if (present(of)) {
                        round.add(name);
                    }
                });
                Collections.shuffle(round, random);
            }
            if (round.isEmpty()) {
                return null;
            }
            String name = round.remove(round.size() - 1);
            Known of = known.get(name);
            if (of != null && present(of)) {
                return name;
            }
        }
        return null;
    }

    private void questions(long now) {
        for (Map.Entry<Long, Pending> entry : List.copyOf(pending.entrySet())) {
            Pending each = entry.getValue();
            if (each.asker != null) {
                if (now >= each.due && !each.passedOn) {
                    each.passedOn = true;
                    each.due = each.over;
                    say(each.asker, new PeerMessage.Nack(each.number, List.of()));
                }
                if (now >= each.over) {
                    pending.remove(entry.getKey());
                }
            } else if (now >= each.over) {
                pending.remove(entry.getKey());
                failed(now, each);
            } else if (now >= each.due && !each.passedOn) {
                each.passedOn = true;
                each.due = each.over;
                Set<String> asked = new HashSet<>(Set.of(each.target));
                for (int i = 0; i < settings.askers(); i++) {
                    String other = anyPresent(asked);
                    if (other != null) {
                        asked.add(other);
                        each.asked++;
                        say(other, new PeerMessage.Ask(entry.getKey(), each.target, news(other)));
                    }
                }
            }
        }
    }

    private void failed(long now, Pending each) {
        // Those who were asked and did not even say that they have no answer: it may be this one's own ears.
        worse(each.asked == 0 ? 1 : each.asked - each.nacks.size());
        Known of = known.get(each.target);
        if (of != null && of.rumor.standing() == MemberState.ALIVE) {
            learn(now, new Update(of.rumor.card(), of.rumor.incarnation(), MemberState.SUSPECTED, card.name()));
        } else if (of != null && of.rumor.standing() == MemberState.SUSPECTED) {
            suspects(of, card.name());
        }
    }

    private void worse(int by) {
        health = Math.min(HEALTH_MOST, health + Math.max(0, by));
    }

    private void better() {
        health = Math.max(0, health - 1);
    }

    private void answer(long now, String from, long life, PeerMessage word) {
        if (word instanceof PeerMessage.Ping ping) {
            say(from, new PeerMessage.Ack(ping.number(), news(from)));
        } else if (word instanceof PeerMessage.Ack ack) {
            Pending each = pending.get(ack.number());
            if (each != null && (each.asker == null || each.target.equals(from)) && answers(each, from, life)) {
                pending.remove(ack.number());
                if (each.asker == null) {
                    better();
                } else {
                    say(each.asker, new PeerMessage.Ack(each.number, List.of()));
                }
            }
        } else if (word instanceof PeerMessage.Nack nack) {
            Pending each = pending.get(nack.number());
            if (each != null && each.asker == null) {
                each.nacks.add(from);
            }
        } else if (word instanceof PeerMessage.Ask ask) {
            if (known.containsKey(ask.target()) && pending.size() < PENDING_MOST) {
                long number = ++numbers;
                long span = settings.interval() - settings.timeout();
                pending.put(number, new Pending(ask.target(), from, ask.number(), now + (long) (span * NACK_PART), now + 2 * settings.interval()));
                say(ask.target(), new PeerMessage.Ping(number, news(ask.target())));
            }
        } else if (word instanceof PeerMessage.Sync sync) {
            joined = true;
            if (sync.wanted()) {
                say(from, new PeerMessage.Sync(false, all()));
            }
        }
    }

    /** Whether the answer is by the life that was asked for: another one at its place is no sign of it. */
    private boolean answers(Pending each, String from, long life) {
        Known of = known.get(each.target);
        return !from.equals(each.target) || of == null || of.rumor.card().life() <= life;
    }

    // ---- joining, and meeting again

    private void reach(long now) {
        if (now < reachAt) {
            return;
        }
        List<String> away = new ArrayList<>();
        for (String name : named) {
            if (!known.containsKey(name)) {
                away.add(name);
            }
        }
        known.forEach((name, of) -> {
            if (of.rumor.standing() == MemberState.GONE || taken) {
                away.add(name);
            }
        });
        reachAt = now + (joined && !taken ? settings.reach() : Math.min(settings.reach(), JOIN_EVERY));
        if (!away.isEmpty()) {
            String name = away.get(random.nextInt(away.size()));
            out.send(name, new PeerMessage.Sync(true, taken ? List.of() : all()));
        }
    }

    // ---- news

    private void say(String to, PeerMessage word) {
        if (!taken) {
            out.send(to, word);
        }
    }

    private Update own() {
        return new Update(card, incarnation, MemberState.ALIVE, card.name());
    }

    private List<Update> all() {
        List<Update> all = new ArrayList<>(known.size() + 1);
        all.add(own());
        known.values().forEach(each -> all.add(each.rumor));
        return all;
    }

    /** What was told least often goes first; to one who is suspected, that it is, before all (Lifeguard's buddies, section IV.C). */
    private List<Update> news(String to) {
        int most = (int) Math.ceil(TOLD_TIMES * Math.log10(known.size() + 2.0)) + 1;
        List<Known> fresh = new ArrayList<>();
        Known other = known.get(to);
        if (other != null && other.rumor.standing() != MemberState.ALIVE) {
            fresh.add(other);
        }
        known.values().stream().filter(each -> each.told < most && each != other).sorted(Comparator.comparingInt(each -> each.told))
                .limit(PeerMessage.RUMORS_MOST - 2L).forEach(fresh::add);
        List<Update> rumors = new ArrayList<>();
        rumors.add(own());
        fresh.forEach(each -> {
            each.told = Math.min(most, each.told + 1);
            rumors.add(each.rumor);
        });
        return rumors;
    }

    private String anyPresent(Set<String> but) {
        List<String> names = new ArrayList<>();
        known.forEach((name, of) -> {
            if (of.rumor.standing() == MemberState.ALIVE && !but.contains(name)) {
                names.add(name);
            }
        });
        return names.isEmpty() ? null : names.get(random.nextInt(names.size()));
    }

    private void learn(long now, Update rumor) {
        String name = rumor.card().name();
        if (name.equals(card.name())) {
            ofItself(now, rumor);
            return;
        }
        Known of = known.get(name);
        if (of == null) {
            // What is over and was forgotten, or never known, is no news: it would go round for good.
            if (rumor.standing() == MemberState.GONE || rumor.standing() == MemberState.LEFT || known.size() + 1 >= GATEWAYS_MOST) {
                return;
            }
            of = new Known();
            known.put(name, of);
            round.add(random.nextInt(round.size() + 1), name);
            become(now, of, rumor, Event.JOINED);
        } else if (rumor.overrides(of.rumor)) {
            become(now, of, rumor, event(of.rumor, rumor));
        } else if (rumor.standing() == MemberState.SUSPECTED && of.rumor.standing() == MemberState.SUSPECTED
                && rumor.card().life() == of.rumor.card().life() && rumor.incarnation() == of.rumor.incarnation()) {
            suspects(of, rumor.by());
        }
    }

    private static Event event(Update before, Update now) {
        boolean anew = now.card().life() != before.card().life();
        return switch (now.standing()) {
            case ALIVE -> anew ? Event.RESTARTED : before.standing() == MemberState.GONE ? Event.RETURNED
                    : before.standing() == MemberState.SUSPECTED ? Event.REFUTED : null;
            case SUSPECTED -> Event.SUSPECTED;
            case GONE -> Event.GONE;
            case LEFT -> Event.LEFT;
        };
    }

    private void become(long now, Known of, Update rumor, Event event) {
        if (of.rumor == null || of.rumor.standing() != rumor.standing() || of.rumor.card().life() != rumor.card().life()) {
            of.since = now;
        }
        of.rumor = rumor;
        of.told = 0;
        of.suspectedBy.clear();
        if (rumor.standing() == MemberState.SUSPECTED) {
            of.suspectedAt = now;
            of.suspectedBy.add(rumor.by());
        }
        if (event != null) {
            out.event(event, rumor);
        }
    }

    /** One more has no answer from it: that is news too, up to the number that counts. */
    private void suspects(Known of, String by) {
        if (of.suspectedBy.size() < SEEN_MOST && of.suspectedBy.add(by) && of.suspectedBy.size() - 1 <= settings.confirmations()) {
            of.rumor = new Update(of.rumor.card(), of.rumor.incarnation(), MemberState.SUSPECTED, by);
            of.told = 0;
        }
    }

    private void suspicions(long now) {
        if (taken) {
            return;
        }
        int gateways = present();
        for (Known each : List.copyOf(known.values())) {
            if (each.rumor.standing() != MemberState.SUSPECTED
                    || now - each.suspectedAt < slowly(settings.suspicion(gateways, each.suspectedBy.size() - 1))) {
                continue;
            }
            if (each.heardAt > each.suspectedAt) {
                each.suspectedAt = now;  // it speaks, though it may not hear: that is not gone
            } else {
                become(now, each, new Update(each.rumor.card(), each.rumor.incarnation(), MemberState.GONE, card.name()), Event.GONE);
            }
        }
    }

    private void ofItself(long now, Update rumor) {
        long life = rumor.card().life();
        boolean over = rumor.standing() == MemberState.GONE || rumor.standing() == MemberState.LEFT;
        if (life > card.life()) {
            if (over) {  // an earlier start of its own, by a clock that was ahead
                card = new Member(card.name(), life + 1, card.zone(), card.build(), card.settings());
                incarnation = 0;
                free();
            } else if (!taken) {
                taken = true;
                takenBy = life;
                pending.clear();
                out.event(Event.NAME_TAKEN, rumor);
            } else {
                takenBy = Math.max(takenBy, life);
            }
        } else if (life == card.life() && !leaving && rumor.standing() != MemberState.ALIVE && rumor.incarnation() >= incarnation) {
            incarnation = rumor.incarnation() + 1;
            worse(1);
        }
    }

    private void free() {
        if (taken && card.life() > takenBy) {
            taken = false;
            out.event(Event.NAME_FREE, own());
        }
    }

    private void forget(long now) {
        known.values().removeIf(each -> !present(each) && now - each.since > settings.forget());
    }
}
