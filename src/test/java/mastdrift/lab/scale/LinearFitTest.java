package mastdrift.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import mastdrift.lab.scale.LinearFit.Point;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Lines through what was measured. */
class LinearFitTest {

    private static LinearFit of(double... pairs) {
        List<Point> points = new java.util.ArrayList<>();
        for (int i = 0; i < pairs.length; i += 2) {
            points.add(new Point(pairs[i], pairs[i + 1]));
        }
        return LinearFit.of(points);
    }

    /** The example of Anscombe's first set (1973): a slope of 0.500 and 3.00 at none. */
    @Test
    void theLineIsThatOfLeastSquares() {
        LinearFit fit = of(10, 8.04, 8, 6.95, 13, 7.58, 9, 8.81, 11, 8.33, 14, 9.96, 6, 7.24, 4, 4.26, 12, 10.84, 7, 4.82, 5, 5.68);
        assertEquals(0.5, fit.slope(), 0.0005);
        assertEquals(3.0, fit.intercept(), 0.005);
    }

    @Test
    void theSmallerSizesForetellTheLargest() {
        LinearFit fit = of(256, 10, 1_024, 40, 4_100, 200);
        assertEquals(10 + (4_100 - 256) * 30 / 768.0, fit.predicted(), 1e-9);
        assertEquals(200, fit.measured());
        assertEquals(4_100, fit.largest());
        assertEquals(200 / fit.predicted() - 1, fit.relativeError(), 1e-12);
    }

    @Test
    void severalRunsOfTheLargestAreTakenTogether() {
        LinearFit fit = of(1, 1, 1, 3, 2, 4, 4, 7, 4, 9);
        assertEquals(8, fit.measured());
        assertEquals(8, fit.predicted(), 1e-9);
        assertEquals(0, fit.relativeError(), 1e-9);
    }

    @Test
    void nothingIsForetoldByOneSize() {
        assertTrue(Double.isNaN(of(1, 5, 2, 9).predicted()));
        assertTrue(Double.isNaN(of(1, 5, 2, 9).relativeError()));
        LinearFit one = of(7, 5);
        assertEquals(0, one.slope());
        assertEquals(5, one.at(100));
        assertThrows(IllegalArgumentException.class, () -> LinearFit.of(List.of()));
    }

    @Test
    void whatIsFarFromNothingIsInfinitelyFar() {
        assertEquals(Double.POSITIVE_INFINITY, of(1, 0, 2, 0, 3, 1).relativeError());
        assertEquals(0, of(1, 0, 2, 0, 3, 0).relativeError());
    }

    @Property(tries = 200)
    void aLineIsFoundAgain(@ForAll @DoubleRange(min = -1e3, max = 1e3) double slope, @ForAll @DoubleRange(min = -1e3, max = 1e3) double intercept) {
        LinearFit found = of(100, 100 * slope + intercept, 1_000, 1_000 * slope + intercept, 4_100, 4_100 * slope + intercept);
        assertEquals(slope, found.slope(), 1e-6);
        assertEquals(intercept, found.intercept(), 1e-3);
        assertEquals(found.measured(), found.predicted(), 1e-3);
    }
}
