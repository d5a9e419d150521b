package mastdrift.wire;

import mastdrift.Balance;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/** Command line: {@code adapter} runs the simulator's protocol on standard input and output. */
public final class Main {

    private Main() { }

    /** Runs on the given streams and returns the exit status. */
    public static int run(String[] args, InputStream in, OutputStream out, PrintStream err) throws IOException {
        if (args.length != 1 || !args[0].equals("adapter")) {
            err.println("usage: java -jar mastdrift.jar adapter");
            return 2;
        }
        BufferedReader reader = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
        BufferedWriter writer = new BufferedWriter(new OutputStreamWriter(out, StandardCharsets.UTF_8), 1 << 16);
        try {
            new Adapter(reader, writer, err, Balance::new).run();
            return 0;
        } catch (MalformedLineException e) {
            err.println(e.getMessage());
            return 2;
        }
    }
}
