package mastdrift.distribution.edge;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import mastdrift.distribution.Delta;

/** A process that writes a copy until it is killed, and says the number of each table that is on disk. */
final class KilledWriter {

    private KilledWriter() { }

    public static void main(String[] arguments) throws IOException {
        TableFolder folder = new TableFolder(Path.of(arguments[0]));
        folder.read();
        Growing tables = new Growing(Long.parseLong(arguments[1]));
        while (true) {
            List<Delta> deltas = List.of(tables.change(3_000));
            folder.append(1, tables.table(), deltas);
            System.out.println(tables.table().revision().number());
        }
    }
}
