package mastdrift.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;

/** The files of a gateway on loopback, as demo, tests and measurements write them: pieces of text, and a folder in which a file
    is put in place whole. */
public final class GatewayFiles implements AutoCloseable {

    /** Guards that let every change through, for a pool's table. */
    public static final String FREE = "guards = { pool_drop_most = 1, zone_drop_most = 1, zone_may_empty = true,"
            + " weights_may_be_zero = true }\n";
    /** The association's classes over HTTP. */
    public static final String CLASSES = type("session-read", "safe", "600ms", "2500ms", "")
            + type("session-start", "keyed", "600ms", "1500ms", "group = \"zone\"\ndedup_window = \"1500ms\"\n");
    /** Classes and a listener for RADIUS, on a free port; its secret is in the file {@code secret}. */
    public static final String RADIUS = type("card", "safe", "1s", "4s", "") + type("talk", "unsafe", "1s", "4s", "")
            + type("accounting", "keyed", "1s", "4s", "group = \"all\"\ndedup_window = \"60s\"\n") + """
            [[radius]]
            name = "chargers"
            listen = "127.0.0.1:0"
            access_class = "card"
            conversation_class = "talk"
            accounting_class = "accounting"

            [[radius.client]]
            name = "site"
            network = "127.0.0.0/8"
            secret_file = "secret"

            """;

    private final Path folder;

    /** In a folder that is there. */
    public GatewayFiles(Path folder) {
        this.folder = folder;
    }

    /** In a new folder, which goes with all in it at {@link #close}. */
    public static GatewayFiles temporary() throws IOException {
        return new GatewayFiles(Files.createTempDirectory("mastdrift-files"));
    }

    /** The gateway's own table: on a free port, or where {@code more} says; in bilbao, one of two zones. */
    public static String head(String listen, String more) {
        return "[gateway]\nname = \"loopback\"\nlisten = \"" + listen + "\"\nzone = \"bilbao\"\nzones = [\"bilbao\", \"oviedo\"]\n"
                + more + "\n";
    }

    /** A class. */
    public static String type(String name, String effect, String aim, String deadline, String more) {
        return "[[class]]\nname = \"" + name + "\"\neffect = \"" + effect + "\"\naim = \"" + aim + "\"\ndeadline = \"" + deadline
                + "\"\n" + more + "\n";
    }

    /** A pool of the list {@code NAME.toml}. */
    public static String pool(String name, String more) {
        return "[pool." + name + "]\nnodes = [\"" + name + ".toml\"]\n" + more + "\n";
    }

    /** A route of a class to one pool. */
    public static String route(String name, String className, String pool) {
        return "[[route]]\nname = \"" + name + "\"\nclass = \"" + className + "\"\npools = { " + pool + " = 1 }\n\n";
    }

    /** A node; {@code more} are further keys. */
    public static String node(String uid, String endpoint, String zone, String more) {
        return "[[node]]\nuid = \"" + uid + "\"\nendpoint = \"" + endpoint + "\"\nzone = \"" + zone + "\"\n" + more + "\n";
    }

    /** A node list with its closing line. */
    public static String list(List<String> nodes) {
        return String.join("", nodes) + "# end of " + nodes.size() + " nodes\n";
    }

    /** Where the files are. */
    public Path folder() {
        return folder;
    }

    /** The gateway's file. */
    public Path gateway() {
        return folder.resolve("gateway.toml");
    }

    /** Puts the gateway's file in place, made of pieces; its closing line is added. */
    public void gateway(String... pieces) throws IOException {
        save("gateway.toml", String.join("", pieces) + "# end\n");
    }

    /** Puts a file in place by renaming. */
    public void save(String name, String text) throws IOException {
        Path aside = folder.resolve("." + name);
        Files.writeString(aside, text);
        Files.move(aside, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    /** Takes the folder and its files away. */
    @Override
    public void close() throws IOException {
        try (var files = Files.list(folder)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
        }
        Files.deleteIfExists(folder);
    }
}
