package mastdrift.lab.scale;

import java.util.List;

/**
 * A line through what was measured at some sizes, by least squares, and how well the smaller ones predicted the largest.
 *
 * @param slope of the line through all, per unit of size
 * @param intercept of it
 * @param largest size
 * @param measured mean at the largest size
 * @param predicted there by the line through the smaller sizes alone; NaN where there are fewer than two of them
 */
public record LinearFit(double slope, double intercept, double largest, double measured, double predicted) {

    /** A figure seen at a size. */
    public record Point(double size, double value) { }

    private record Line(double slope, double intercept) {

        /** Weighs all points alike; flat through the mean where there is one size only. */
        static Line of(List<Point> points) {
            double x = points.stream().mapToDouble(Point::size).average().orElse(0);
            double y = points.stream().mapToDouble(Point::value).average().orElse(0);
            double square = points.stream().mapToDouble(point -> (point.size - x) * (point.size - x)).sum();
            double slope = square == 0 ? 0 : points.stream().mapToDouble(point -> (point.size - x) * (point.value - y)).sum() / square;
            return new Line(slope, y - slope * x);
        }

        double at(double size) {
            return slope * size + intercept;
        }
    }

    /** Of one point or more; throws IllegalArgumentException for none. */
    public static LinearFit of(List<Point> points) {
        double largest = points.stream().mapToDouble(Point::size).max().orElseThrow(() -> new IllegalArgumentException("expected some points, found none"));
        List<Point> smaller = points.stream().filter(point -> point.size < largest).toList();
        double measured = points.stream().filter(point -> point.size == largest).mapToDouble(Point::value).average().orElse(0);
        Line all = Line.of(points);
        boolean told = smaller.stream().mapToDouble(Point::size).distinct().count() > 1;
        return new LinearFit(all.slope, all.intercept, largest, measured, told ? Line.of(smaller).at(largest) : Double.NaN);
    }

    /** What the line gives at a size. */
    public double at(double size) {
        return slope * size + intercept;
    }

    /** How far what was measured at the largest size lies from what was predicted, as a part of the latter; NaN where nothing was, infinite where 0 was. */
    public double relativeError() {
        return measured == predicted ? 0 : (measured - predicted) / Math.abs(predicted);
    }
}
