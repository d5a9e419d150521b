package mastdrift.distribution.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import mastdrift.distribution.Delta;

/**
 * A process that writes table copies until it is killed, and prints the revision number of each table once it is on
 * disk.
 */
final class WriterProcess {

    private WriterProcess() { }

    public static void main(String[] arguments) throws IOException {
        TableFolder folder = new TableFolder(Path.of(arguments[0]));
        folder.read();
        RandomTable tables = new RandomTable(Long.parseLong(arguments[1]));
        while (true) {
            List<Delta> deltas = List.of(tables.applyChange(3_000));
            folder.append(1, tables.table(), deltas);
            System.out.println(tables.table().revision().number());
        }
    }
}
