package mastdrift.lab.report;

import java.awt.Color;
import java.awt.geom.Rectangle2D;
import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.Results.FaultMark;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.annotations.XYShapeAnnotation;
import org.jfree.chart.annotations.XYTextAnnotation;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.ui.TextAnchor;

/** What several processes went through, one lane each, below what was served meanwhile. */
public final class LanesPicture {

    private static final int LANE = 34;
    private static final int EDGES = 70;

    /** A span of seconds in a lane, with a word for what it is; {@code color} tells kinds apart. */
    public record Band(int lane, double from, double until, String what, int color) { }

    private LanesPicture() { }

    /** Counts by second as lines, by name, with spans over all of it. */
    public static String counts(List<String> names, List<double[]> bySecond, List<FaultMark> marks) {
        List<Charts.Line> lines = new ArrayList<>();
        for (int i = 0; i < names.size(); i++) {
            List<double[]> points = new ArrayList<>();
            for (int second = 0; second < bySecond.size(); second++) {
                points.add(new double[] {second, bySecond.get(second)[i]});
            }
            lines.add(new Charts.Line(names.get(i), points));
        }
        return Charts.overTime("counts", "requests a second", lines, marks, false);
    }

    /** Lanes with their bands. */
    public static String lanes(List<String> lanes, List<Band> bands, double seconds) {
        NumberAxis x = new NumberAxis("seconds");
        x.setRange(0, Math.max(1, seconds));
        SymbolAxis y = new SymbolAxis(null, lanes.toArray(new String[0]));
        y.setRange(-0.6, lanes.size() - 0.4);
        y.setInverted(true);
        x.setLabelFont(Charts.FONT);
        x.setTickLabelFont(Charts.FONT);
        y.setTickLabelFont(Charts.FONT);
        XYPlot plot = new XYPlot(null, x, y, null);
        plot.setBackgroundPaint(Color.WHITE);
        for (Band band : bands) {
            Color color = Charts.COLORS.get(band.color() % Charts.COLORS.size());
            plot.addAnnotation(new XYShapeAnnotation(new Rectangle2D.Double(band.from(), band.lane() - 0.35, Math.max(0.05, band.until() - band.from()), 0.7), null, null,
                    new Color(color.getRed(), color.getGreen(), color.getBlue(), 110)));
            XYTextAnnotation word = new XYTextAnnotation(band.what(), band.from(), band.lane());
            word.setTextAnchor(TextAnchor.CENTER_LEFT);
            word.setFont(Charts.FONT);
            plot.addAnnotation(word);
        }
        JFreeChart chart = new JFreeChart(null, Charts.FONT, plot, false);
        chart.setBackgroundPaint(Color.WHITE);
        return Charts.svg("lanes", chart, EDGES + LANE * lanes.size());
    }
}
