package mastdrift.lab.report;

import java.awt.Color;
import java.util.Map;
import mastdrift.zones.CrossingCause;
import mastdrift.zones.FlowCounts;
import mastdrift.zones.Flow;
import org.jfree.chart.axis.CategoryAxis;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.renderer.category.StackedBarRenderer;
import org.jfree.chart.renderer.category.StandardBarPainter;
import org.jfree.data.category.DefaultCategoryDataset;

/** What crossed zones, as a picture: bytes by class, in bars of their causes. */
public final class ZonePicture {

    private static final double MIB = 1 << 20;

    private ZonePicture() { }

    /** As SVG. */
    public static String svg(Map<Flow, FlowCounts> flows) {
        DefaultCategoryDataset data = new DefaultCategoryDataset();
        for (CrossingCause cause : CrossingCause.values()) {
            flows.forEach((flow, counts) -> {
                if (flow.crosses() && counts.bytes(cause) > 0) {
                    String bar = flow.className() + ", " + flow.fromZone() + " to " + flow.toZone();
                    double before = data.getRowIndex(cause.reportName()) >= 0 && data.getColumnIndex(bar) >= 0
                            && data.getValue(cause.reportName(), bar) != null ? data.getValue(cause.reportName(), bar).doubleValue() : 0;
                    data.setValue(before + counts.bytes(cause) / MIB, cause.reportName(), bar);
                }
            });
        }
        StackedBarRenderer renderer = new StackedBarRenderer();
        renderer.setBarPainter(new StandardBarPainter());
        renderer.setShadowVisible(false);
        for (int i = 0; i < data.getRowCount(); i++) {
            renderer.setSeriesPaint(i, Charts.COLORS.get(i % Charts.COLORS.size()));
        }
        CategoryAxis x = new CategoryAxis();
        NumberAxis y = new NumberAxis("MiB, both ways");
        x.setTickLabelFont(Charts.FONT);
        y.setTickLabelFont(Charts.FONT);
        y.setLabelFont(Charts.FONT);
        CategoryPlot plot = new CategoryPlot(data, x, y, renderer);
        plot.setBackgroundPaint(Color.WHITE);
        plot.setRangeGridlinePaint(new Color(0xDDDDDD));
        plot.setOutlineVisible(false);
        return Charts.svg("zones", plot);
    }
}
