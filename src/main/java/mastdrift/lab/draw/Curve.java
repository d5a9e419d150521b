package mastdrift.lab.draw;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A rate over time, in events a second: straight lines between points, with jumps where two points share a time. Beyond its
 * end nothing comes. Its integral and the inverse of that are exact, which is what makes arrivals of any curve from arrivals
 * at a rate of 1 (time-rescaling: Brown et al., "The time-rescaling theorem", 2002).
 */
public final class Curve {

    private static final String NUMBER = "(\\d{1,9}(?:\\.\\d{1,6})?)";
    private static final Pattern CONSTANT = Pattern.compile(NUMBER);
    private static final Pattern RAMP = Pattern.compile(NUMBER + "\\.\\." + NUMBER);
    private static final Pattern DAY = Pattern.compile("day:" + NUMBER + "\\.\\." + NUMBER);
    private static final Pattern BURSTS = Pattern.compile("bursts:" + NUMBER + "\\+" + NUMBER + "/" + NUMBER + "s/" + NUMBER + "s");
    private static final int DAY_STEPS = 96;
    private static final int BURSTS_MOST = 10_000;

    /** What {@link #parse} takes, for messages and help. */
    public static final String FORMS = "RATE, FROM..TO, day:LOW..HIGH or bursts:BASE+MORE/EVERYs/LENGTHs, in requests a second";

    private final double[] at;
    private final double[] rate;
    private final double[] area;

    private Curve(double[] at, double[] rate) {
        this.at = at;
        this.rate = rate;
        area = new double[at.length];
        for (int i = 1; i < at.length; i++) {
            area[i] = area[i - 1] + (at[i] - at[i - 1]) * (rate[i] + rate[i - 1]) / 2;
        }
    }

    /** Points in time order, the first at 0; throws IllegalArgumentException for others, and for rates below 0. */
    public static Curve of(double[] seconds, double[] rates) {
        boolean ordered = seconds.length == rates.length && seconds.length >= 2 && seconds[0] == 0;
        for (int i = 0; ordered && i < seconds.length; i++) {
            ordered = rates[i] >= 0 && Double.isFinite(rates[i]) && (i == 0 || seconds[i] >= seconds[i - 1]);
        }
        if (!ordered) {
            throw new IllegalArgumentException("expected points in time order from 0 with rates of 0 or more, found "
                    + Arrays.toString(seconds) + " and " + Arrays.toString(rates));
        }
        return new Curve(seconds.clone(), rates.clone());
    }

    /** The same rate for so many seconds. */
    public static Curve constant(double rate, double seconds) {
        return of(new double[] {0, seconds}, new double[] {rate, rate});
    }

    /** One of {@link #FORMS} over so many seconds; throws IllegalArgumentException with what was expected and found. */
    public static Curve parse(String text, double seconds) {
        Matcher constant = CONSTANT.matcher(text);
        if (constant.matches()) {
            return constant(number(constant, 1), seconds);
        }
        Matcher ramp = RAMP.matcher(text);
        if (ramp.matches()) {
            return of(new double[] {0, seconds}, new double[] {number(ramp, 1), number(ramp, 2)});
        }
        Matcher day = DAY.matcher(text);
        if (day.matches()) {
            return day(number(day, 1), number(day, 2), seconds);
        }
        Matcher bursts = BURSTS.matcher(text);
        if (bursts.matches()) {
            return bursts(number(bursts, 1), number(bursts, 2), number(bursts, 3), number(bursts, 4), seconds);
        }
        throw new IllegalArgumentException("expected " + FORMS + ", found \"" + text + "\"");
    }

    private static double number(Matcher matcher, int group) {
        return Double.parseDouble(matcher.group(group));
    }

    /** A day in so many seconds: low at its ends, high in its middle, a cosine in 96 straight pieces. */
    private static Curve day(double low, double high, double seconds) {
        double[] at = new double[DAY_STEPS + 1];
        double[] rate = new double[DAY_STEPS + 1];
        for (int i = 0; i <= DAY_STEPS; i++) {
            at[i] = seconds * i / DAY_STEPS;
            rate[i] = low + (high - low) * (1 - Math.cos(2 * Math.PI * i / DAY_STEPS)) / 2;
        }
        return of(at, rate);
    }

    private static Curve bursts(double base, double more, double every, double length, double seconds) {
        if (!(every > length) || length <= 0 || seconds / every > BURSTS_MOST) {
            throw new IllegalArgumentException("expected bursts of more than 0 s that end before the next, " + BURSTS_MOST
                    + " of them at most, found " + length + " s every " + every + " s");
        }
        List<double[]> points = new ArrayList<>();
        points.add(new double[] {0, base});
        for (double from = every / 2; from < seconds; from += every) {
            double to = Math.min(seconds, from + length);
            points.add(new double[] {from, base});
            points.add(new double[] {from, base + more});
            points.add(new double[] {to, base + more});
            points.add(new double[] {to, base});
        }
        points.add(new double[] {seconds, base});
        return of(points.stream().mapToDouble(p -> p[0]).toArray(), points.stream().mapToDouble(p -> p[1]).toArray());
    }

    /** The same shape with every rate times so much. */
    public Curve times(double factor) {
        return of(at, Arrays.stream(rate).map(r -> r * factor).toArray());
    }

    /** Seconds until nothing more comes. */
    public double seconds() {
        return at[at.length - 1];
    }

    /** Events expected in all. */
    public double total() {
        return area[area.length - 1];
    }

    /** Events a second at a time; after a jump where there is one. */
    public double rate(double seconds) {
        if (seconds < 0 || seconds > seconds()) {
            return 0;
        }
        int i = at.length - 2;
        while (i > 0 && at[i] > seconds) {
            i--;
        }
        double part = at[i + 1] == at[i] ? 1 : (seconds - at[i]) / (at[i + 1] - at[i]);
        return rate[i] + part * (rate[i + 1] - rate[i]);
    }

    /** The time by which so many events are expected; infinite beyond {@link #total}. */
    public double when(double events) {
        if (events > total()) {
            return Double.POSITIVE_INFINITY;
        }
        int found = Arrays.binarySearch(area, events);
        int i = Math.min(at.length - 2, found >= 0 ? found : -found - 2);
        while (i < at.length - 2 && area[i + 1] < events) {
            i++;
        }
        double left = events - area[i];
        double slope = at[i + 1] == at[i] ? 0 : (rate[i + 1] - rate[i]) / (at[i + 1] - at[i]);
        // The stable root of rate * x + slope * x^2 / 2 = left, also where the slope is 0.
        double root = Math.sqrt(Math.max(0, rate[i] * rate[i] + 2 * slope * left));
        return left <= 0 ? at[i] : Math.min(at[i + 1], at[i] + 2 * left / (rate[i] + root));
    }
}
