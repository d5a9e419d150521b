/** Reports of experiments: one HTML file without outside parts, made of the results alone, so that the same results give the
    same bytes. */
package mastdrift.lab.report;
