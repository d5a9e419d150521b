package mastdrift.lab.report;

import java.util.ArrayList;
import java.util.List;
import org.jfree.chart.axis.NumberAxis;
import org.jfree.chart.plot.XYPlot;
import org.jfree.chart.renderer.xy.XYLineAndShapeRenderer;

/** A figure against a size: what was measured, the line through it, and what the smaller sizes predicted for the largest. */
public final class FitChart {

    private FitChart() { }

    /** As SVG; {@code predicted} is null where nothing was. Each point is a size and a value. */
    public static String svg(String id, String size, List<double[]> measured, List<double[]> line, double[] predicted) {
        List<Charts.Line> lines = new ArrayList<>(List.of(new Charts.Line("measured", measured), new Charts.Line("line through all", line)));
        if (predicted != null) {
            lines.add(new Charts.Line("foretold by the smaller sizes", List.of(predicted)));
        }
        XYPlot plot = Charts.plot(lines, new NumberAxis(size), new NumberAxis(null));
        XYLineAndShapeRenderer renderer = (XYLineAndShapeRenderer) plot.getRenderer();
        for (int i = 0; i < lines.size(); i++) {
            renderer.setSeriesLinesVisible(i, i == 1);
            renderer.setSeriesShapesVisible(i, i != 1);
        }
        return Charts.svg(id, plot);
    }
}
