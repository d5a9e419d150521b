package mastdrift.lab.report;

import java.awt.BasicStroke;
import java.awt.Color;
import java.awt.Font;
import java.awt.geom.Rectangle2D;
import java.text.DecimalFormat;
import java.text.DecimalFormatSymbols;
import java.util.List;
import java.util.Locale;
import mastdrift.lab.Results.FaultMark;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.LogAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.NumberTickUnit;
import org.jfree.chart.plot.IntervalMarker;
import org.jfree.chart.plot.Plot;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;
import org.jfree.chart.title.LegendTitle;
import org.jfree.chart.ui.Layer;
import org.jfree.chart.ui.RectangleAnchor;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.chart.ui.TextAnchor;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;
import org.jfree.svg.SVGGraphics2D;

/** Line charts as SVG. */
final class Charts {

    private static final int WIDTH = 860;
    private static final int HEIGHT = 320;
    static final Font FONT = new Font("SansSerif", Font.PLAIN, 12);
    // Okabe, Ito: told apart by all, also without red and green.
    static final List<Color> COLORS = List.of(new Color(0x0072B2), new Color(0xD55E00), new Color(0x009E73),
            new Color(0xCC79A7), new Color(0xE69F00), new Color(0x56B4E9), new Color(0x000000), new Color(0xF0E442));

    /** A line: pairs of x and y. */
    record Line(String name, List<double[]> points) { }

    private Charts() { }

    /** Over seconds, with faults as shaded spans. */
    static String overTime(String id, String yLabel, List<Line> lines, List<FaultMark> faults, boolean part) {
        NumberAxis x = new NumberAxis("seconds");
        x.setAutoRangeIncludesZero(true);
        NumberAxis y = new NumberAxis(yLabel);
        if (part) {
            y.setRange(0, 1.02);
            y.setTickUnit(new NumberTickUnit(0.2));
        }
        XYPlot plot = plot(lines, x, y);
        for (FaultMark fault : faults) {
            IntervalMarker marker = new IntervalMarker(fault.from(), fault.to(), new Color(0, 0, 0, 22));
            marker.setLabel(fault.what());
            marker.setLabelFont(FONT);
            marker.setLabelAnchor(RectangleAnchor.TOP_LEFT);
            marker.setLabelTextAnchor(TextAnchor.TOP_LEFT);
            plot.addDomainMarker(marker, Layer.BACKGROUND);
        }
        return svg(id, plot);
    }

    /** Latency against 1 / (1 - quantile), both on logarithmic axes: tails get room. */
    static String tails(String id, List<Line> lines) {
        LogAxis x = decades("1 / (1 - quantile)");
        x.setRange(1, 10_000);
        LogAxis y = decades("ms");
        return svg(id, plot(lines, x, y));
    }

    private static LogAxis decades(String label) {
        LogAxis axis = new LogAxis(label);
        axis.setTickUnit(new NumberTickUnit(1));
        axis.setNumberFormatOverride(new DecimalFormat("0.###", DecimalFormatSymbols.getInstance(Locale.ROOT)));
        return axis;
    }

    /** Against a rank, from 0 to 1. */
    static String ranks(String id, String yLabel, List<Line> lines) {
        NumberAxis x = new NumberAxis("nodes, the least used first");
        x.setRange(0, 1);
        return svg(id, plot(lines, x, new NumberAxis(yLabel)));
    }

    static XYPlot plot(List<Line> lines, org.jfree.chart.axis.ValueAxis x, org.jfree.chart.axis.ValueAxis y) {
        XYSeriesCollection data = new XYSeriesCollection();
        XYLineAndShapeRenderer renderer = new XYLineAndShapeRenderer(true, false);
        for (int i = 0; i < lines.size(); i++) {
            XYSeries series = new XYSeries(lines.get(i).name, false, true);
            lines.get(i).points.forEach(point -> series.add(point[0], point[1]));
            data.addSeries(series);
            renderer.setSeriesPaint(i, COLORS.get(i % COLORS.size()));
            renderer.setSeriesStroke(i, new BasicStroke(1.8f));
        }
        x.setLabelFont(FONT);
        x.setTickLabelFont(FONT);
        y.setLabelFont(FONT);
        y.setTickLabelFont(FONT);
        XYPlot plot = new XYPlot(data, x, y, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(new Color(0xDDDDDD));
        plot.setDomainGridlinePaint(new Color(0xEEEEEE));
        plot.setOutlineVisible(false);
        return plot;
    }

    static String svg(String id, Plot plot) {
        JFreeChart chart = new JFreeChart(null, FONT, plot, false);
        chart.setBackgroundPaint(Color.WHITE);
        LegendTitle legend = new LegendTitle((org.jfree.chart.LegendItemSource) plot);
        legend.setItemFont(FONT);
        legend.setPosition(RectangleEdge.BOTTOM);
        chart.addLegend(legend);
        return svg(id, chart, HEIGHT);
    }

    static String svg(String id, JFreeChart chart, int height) {
        SVGGraphics2D graphics = new SVGGraphics2D(WIDTH, height);
        graphics.setDefsKeyPrefix(id);  // or names would be drawn anew each time
        chart.draw(graphics, new Rectangle2D.Double(0, 0, WIDTH, height));
        return graphics.getSVGElement(id);
    }
}
