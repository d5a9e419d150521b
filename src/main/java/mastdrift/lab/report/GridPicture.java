package mastdrift.lab.report;

import java.awt.Color;
import java.util.ArrayList;
import java.util.List;
import mastdrift.lab.Grid;
import mastdrift.lab.Grid.Point;
import mastdrift.lab.GridResults;
import mastdrift.lab.GridResults.Verdict;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.axis.SymbolAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.LookupPaintScale;
import org.jfree.chart.renderer.xy.XYBlockRenderer;
import org.jfree.chart.title.PaintScaleLegend;
import org.jfree.chart.ui.RectangleEdge;
import org.jfree.data.xy.DefaultXYZDataset;

/** A grid as one picture: a block for each point, coloured by how far the first arm is ahead of the better of the others. */
public final class GridPicture {

    // What is as good is white; less is orange, more is blue (told apart by all).
    private static final double[] STEPS = {-1, -0.05, -0.01, -0.002, 0.002, 0.01, 0.05};
    private static final Color[] PAINTS = {new Color(0x993404), new Color(0xD95F0E), new Color(0xFEC44F), Color.WHITE,
        new Color(0xC6DBEF), new Color(0x6BAED6), new Color(0x08519C)};

    private GridPicture() { }

    /** As SVG; points that are not whole stay grey. */
    public static String svg(GridResults results) {
        Grid grid = results.grid();
        List<String> columns = new ArrayList<>();
        grid.gateways().forEach(gateways -> grid.nodes().forEach(nodes -> columns.add(gateways + " x " + nodes)));
        List<String> rows = new ArrayList<>();
        grid.days().forEach(day -> grid.keys().forEach(keys -> rows.add(day.name() + ", " + keys.name())));
        List<Point> whole = results.whole();
        double[][] data = new double[3][whole.size()];
        for (int i = 0; i < whole.size(); i++) {
            Point point = whole.get(i);
            Verdict verdict = results.verdict(point);
            data[0][i] = columns.indexOf(point.gateways() + " x " + point.nodes());
            data[1][i] = rows.indexOf(point.day() + ", " + point.keys());
            data[2][i] = verdict == null ? 0 : Math.max(-0.999, Math.min(0.999, verdict.difference()));
        }
        DefaultXYZDataset set = new DefaultXYZDataset();
        set.addSeries("difference of goodput", data);
        LookupPaintScale scale = new LookupPaintScale(-1, 1, Color.GRAY);
        for (int i = 0; i < STEPS.length; i++) {
            scale.add(STEPS[i], PAINTS[i]);
        }
        XYBlockRenderer renderer = new XYBlockRenderer();
        renderer.setPaintScale(scale);
        SymbolAxis x = new SymbolAxis("gateways x nodes", columns.toArray(new String[0]));
        SymbolAxis y = new SymbolAxis(null, rows.toArray(new String[0]));
        for (SymbolAxis axis : List.of(x, y)) {
            axis.setTickLabelFont(Charts.FONT);
            axis.setGridBandsVisible(false);
        }
        x.setVerticalTickLabels(columns.size() > 8);
        XYPlot plot = new XYPlot(set, x, y, renderer);
        plot.setBackgroundPaint(new Color(0xDDDDDD));
        plot.setDomainGridlinesVisible(false);
        plot.setRangeGridlinesVisible(false);
        JFreeChart chart = new JFreeChart(null, Charts.FONT, plot, false);
        chart.setBackgroundPaint(Color.WHITE);
        NumberAxis legendAxis = new NumberAxis("goodput ahead of the better of the others, -0.1 to 0.1");
        legendAxis.setRange(-0.1, 0.1);
        legendAxis.setLabelFont(Charts.FONT);
        legendAxis.setTickLabelFont(Charts.FONT);
        PaintScaleLegend legend = new PaintScaleLegend(scale, legendAxis);
        legend.setPosition(RectangleEdge.BOTTOM);
        legend.setSubdivisionCount(200);
        chart.addSubtitle(legend);
        return Charts.svg("grid", chart, 140 + 26 * rows.size() + (columns.size() > 8 ? 60 : 0));
    }
}
