package mastdrift.lab.model;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import mastdrift.Balancer.Outcome;
import mastdrift.Balancer.Rules;
import mastdrift.engine.Timers;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * A node. What is in work shares the cores evenly (processor sharing), the rest waits in a bounded queue. Each job's end is
 * kept in units of the work that one job has been given so far, so that an arrival or a change of speed costs one look at
 * the next end and not one at every job (virtual time as in fair queueing: Parekh, Gallager, 1993).
 *
 * <p>A node that has started is cold: its capacity rises evenly. What it is sent while it is cold draws on a bucket that fills
 * at the fall multiple of what it can do and holds a fall span of that; when the bucket is empty the node falls and stays down.
 */
final class ModelNode {

    private static final long COLD_STEP = 100_000;
    private static final double EPSILON = 1e-6;

    private static final class Job implements Comparable<Job> {
        private final Send send;
        private final double work;
        private final long number;
        private double end;

        Job(Send send, double work, long number) {
            this.send = send;
            this.work = work;
            this.number = number;
        }

        @Override
        public int compareTo(Job other) {
            return end != other.end ? Double.compare(end, other.end) : Long.compare(number, other.number);
        }
    }

    private final VirtualTime time;
    private final Watch watch;
    private final Rules rules;
    private final Scenario.Kind kind;
    private final int index;
    private final String uid;
    private final String pool;
    private final String zone;
    private final int cell;
    private final UniformRandomProvider random;
    private final Consumer<ModelNode> fell;
    private final PriorityQueue<Job> running = new PriorityQueue<>();
    private final Deque<Job> waiting = new ArrayDeque<>();
    private final Map<Integer, Long> met;
    private double served;
    private double rate;
    private long last;
    private long jobs;
    private Timers.Timer next;
    private boolean up = true;
    private boolean fallen;
    private boolean frozen;
    private boolean sheds;
    private double slower = 1;
    private double errors;
    private long born;
    private double bucket;
    private double informed;
    private long bucketAt;
    private int epoch;
    private long ran;

    ModelNode(VirtualTime time, Watch watch, Rules rules, Scenario.Kind kind, int index, String uid, String pool, String zone,
            int cell, UniformRandomProvider random, Consumer<ModelNode> fell) {
        this.time = time;
        this.watch = watch;
        this.rules = rules;
        this.kind = kind;
        this.index = index;
        this.uid = uid;
        this.pool = pool;
        this.zone = zone;
        this.cell = cell;
        this.random = random;
        this.fell = fell;
        last = time.now();
        int most = kind.keysMost();
        met = kind.gain() == 0 ? null : new LinkedHashMap<>(16, 0.75f, true) {
            private static final long serialVersionUID = 1;

            @Override
            protected boolean removeEldestEntry(Map.Entry<Integer, Long> eldest) {
                return size() > most;
            }
        };
    }

    int index() {
        return index;
    }

    String uid() {
        return uid;
    }

    String pool() {
        return pool;
    }

    String zone() {
        return zone;
    }

    int cell() {
        return cell;
    }

    Scenario.Kind kind() {
        return kind;
    }

    /** Unix time of its start; 0 for long ago. */
    long born() {
        return born;
    }

    boolean up() {
        return up;
    }

    /** Whether it can't be started again. */
    boolean fallen() {
        return fallen;
    }

    /** Grows with every end of its process: connections from before are gone. */
    int epoch() {
        return epoch;
    }

    /** Requests that it began to run. */
    long ran() {
        return ran;
    }

    // ---- what comes

    /** A request is here whole; its outcome goes to the send, when it is known. */
    void arrive(Send send) {
        if (sheds) {
            send.answer(Outcome.SHED);
            return;
        }
        double work = work(send);
        if (pushedOver(work, send)) {
            return;
        }
        if (running.size() < kind.slots()) {
            advance();
            begin(new Job(send, work, jobs++));
            reschedule();
        } else if (waiting.size() < kind.queue()) {
            waiting.add(new Job(send, work, jobs++));
        } else {
            send.answer(Outcome.SHED);
        }
    }

    private double work(Send send) {
        double work = send.work();
        if (met == null) {
            return work;
        }
        Long before = met.put(send.key(), time.now());
        return before != null && time.now() - before < kind.keyFor() ? work * (1 - kind.gain()) : work;
    }

    private boolean pushedOver(double work, Send send) {
        double warmth = warmth();
        if (warmth >= 1) {
            return false;
        }
        double filling = rules.fallMultiple() * kind.cores() * kind.speed() * warmth;
        double most = filling * rules.fallSpan();
        bucket = Math.min(most, bucket + filling * (time.now() - bucketAt)) - work;
        informed = Math.min(most, informed + filling * (time.now() - bucketAt)) - (send.informed() ? work : 0);
        bucketAt = time.now();
        if (bucket >= 0) {
            return false;
        }
        watch.fell(this, send.request(), informed < 0);
        fallen = true;
        stop();
        send.reset();
        fell.accept(this);
        return true;
    }

    /** The present part of its capacity, 0 to 1. */
    private double warmth() {
        long age = time.now() - born;
        return born == 0 || age >= rules.warmWithin() ? 1
                : rules.coldFrom() + (1 - rules.coldFrom()) * age / rules.warmWithin();
    }

    // ---- work

    private void begin(Job job) {
        ran++;
        job.end = served + job.work;
        job.send.begun(this);
        running.add(job);
    }

    private void advance() {
        long now = time.now();
        served += rate * (now - last);
        last = now;
    }

    private void reschedule() {
        if (next != null) {
            next.cancel();
            next = null;
        }
        double warmth = warmth();
        rate = running.isEmpty() || frozen ? 0
                : kind.speed() / slower * warmth * Math.min(1, kind.cores() / (double) running.size());
        if (rate > 0) {
            long until = (long) Math.ceil(Math.max(0, running.peek().end - served) / rate);
            next = time.after(warmth < 1 ? Math.min(until, COLD_STEP) : until, this::ends);
        }
    }

    private void ends() {
        next = null;
        advance();
        List<Job> over = new ArrayList<>(1);
        while (!running.isEmpty() && running.peek().end <= served + EPSILON) {
            over.add(running.poll());
        }
        more();
        reschedule();
        for (Job job : over) {
            job.send.answer(errors > 0 && random.nextDouble() < errors ? Outcome.ERROR : Outcome.DELIVERED);
        }
    }

    private void more() {
        while (running.size() < kind.slots() && !waiting.isEmpty()) {
            Job job = waiting.poll();
            if (!job.send.given()) {  // what was given up while it waited is dropped; what runs goes on
                begin(job);
            }
        }
    }

    // ---- what goes wrong

    void slower(double factor) {
        advance();
        slower = factor;
        reschedule();
    }

    void errors(double part) {
        errors = part;
    }

    void freeze(boolean on) {
        advance();
        frozen = on;
        reschedule();
    }

    void shed(boolean on) {
        sheds = on;
    }

    /** Its process ends: connections break. */
    void stop() {
        advance();
        up = false;
        epoch++;
        List<Job> lost = new ArrayList<>(running);
        lost.addAll(waiting);
        running.clear();
        waiting.clear();
        reschedule();
        lost.forEach(job -> job.send.reset());
        if (met != null) {
            met.clear();
        }
    }

    /** A process starts, cold; one that has fallen stays down. */
    void start() {
        if (!fallen) {
            up = true;
            born = time.now();
            bucket = rules.fallMultiple() * kind.cores() * kind.speed() * rules.coldFrom() * rules.fallSpan();
            bucketAt = born;
            informed = bucket;
            sheds = false;
            frozen = false;
        }
    }
}
