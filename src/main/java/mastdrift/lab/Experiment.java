package mastdrift.lab;

import java.util.List;
import mastdrift.lab.model.Policy;
import mastdrift.lab.model.Scenario;

/**
 * An experiment, as its file says it.
 *
 * @param name for reports
 * @param byModel whether it is played by the model, or over loopback
 * @param seeds the seeds of its runs, the same for each arm
 * @param arms what is compared
 * @param limits what must hold
 */
public record Experiment(String name, boolean byModel, List<Long> seeds, List<Arm> arms, List<Limit> limits) {

    /**
     * One of the things that are compared.
     *
     * @param name for reports
     * @param policy who decides; over loopback always the module of this build
     * @param scenario what is played, with what this arm sets
     */
    public record Arm(String name, Policy policy, Scenario scenario) { }

    /** What a limit is about. */
    public enum Quantity {
        /** Part of the worth asked for that was served in time, 0 to 1. */
        GOODPUT("goodput", false),
        /** Part of requests last refused. */
        REFUSED("refused", false),
        /** Part of requests that failed or were not answered. */
        FAILED("failed", false),
        /** Attempts for each request. */
        ATTEMPTS("attempts", false),
        /** Part of the attempts that left their gateway's zone. */
        CROSSED("crossed", false),
        /** The most that any window went beyond the first budget, as a part of it. */
        OVERRUN("budget_overrun", false),
        /** Median latency. */
        P50("p50", true),
        /** 99th percentile of latency. */
        P99("p99", true),
        /** 99.9th percentile of latency. */
        P999("p999", true),
        /** Requests without exactly one answer in time. */
        ANSWERS("answers_broken", false),
        /** Effects that happened twice. */
        TWICE("effects_twice", false),
        /** New sends to nodes after the grace of a drain. */
        DRAINS("sends_after_drain", false),
        /** Cold nodes pushed over. */
        FELL("cold_nodes_fallen", false);

        private final String word;
        private final boolean time;

        Quantity(String word, boolean time) {
            this.word = word;
            this.time = time;
        }

        /** As files have it. */
        public String word() {
            return word;
        }

        /** Whether it is a time, in microseconds. */
        public boolean time() {
            return time;
        }

        /** Its value in one run. */
        public double of(RunResult run) {
            double asked = Math.max(1, run.count("asked"));
            return switch (this) {
                case GOODPUT -> run.goodput();
                case REFUSED -> run.count("refused") / asked;
                case FAILED -> (run.count("failed") + run.count("unanswered")) / asked;
                case ATTEMPTS -> run.count("attempts") / asked;
                case CROSSED -> run.count("attempts_across_zones") / Math.max(1.0, run.count("attempts"));
                case OVERRUN -> run.count("budget_overrun_ppm") / 1e6;
                case P50 -> run.quantile("p50");
                case P99 -> run.quantile("p99");
                case P999 -> run.quantile("p999");
                case ANSWERS -> run.count("broken_1");
                case TWICE -> run.count("broken_2");
                case DRAINS -> run.count("broken_3");
                default -> run.count("broken_4");
            };
        }
    }

    /**
     * What must hold in every run.
     *
     * @param arm of this arm, or null for all
     * @param what it is about
     * @param least at least this, or null
     * @param most at most this, or null
     * @param place file, line and column
     */
    public record Limit(String arm, Quantity what, Double least, Double most, String place) {

        /** What is wrong with a run, or null. */
        public String judge(RunResult run) {
            if (arm != null && !arm.equals(run.arm())) {
                return null;
            }
            double found = what.of(run);
            String unit = what.time ? " us" : "";
            if (least != null && !(found >= least)) {
                return place + ": " + run.arm() + ", seed " + run.seed() + ": expected " + what.word + " of at least " + least + unit
                        + ", found " + found + unit;
            }
            if (most != null && !(found <= most)) {
                return place + ": " + run.arm() + ", seed " + run.seed() + ": expected " + what.word + " of at most " + most + unit
                        + ", found " + found + unit;
            }
            return null;
        }
    }
}
