package mastdrift.cli;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** {@code config}: requests of operators to control machines. */
@Command(name = "config", description = "Changes and shows the configuration that control machines distribute.", mixinStandardHelpOptions = true,
        subcommands = {ConfigCommand.Apply.class, ConfigCommand.Get.class, ConfigCommand.Status.class})
final class ConfigCommand implements Runnable {

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "expected apply, get or status");
    }

    /** {@code config apply}: commits a change atomically. */
    @Command(name = "apply", description = "Commits a change atomically.", mixinStandardHelpOptions = true)
    static final class Apply implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "the change: [[upsert]] and [[delete]] in TOML")
        private Path file;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine, which names the voters and the key")
        private Path config;

        @Option(names = "--id", paramLabel = "ID", description = "the change's id if its file has none; a retry with the same id is applied once (default: random)")
        private String id;

        @Option(names = "--seconds", paramLabel = "N", defaultValue = "30", description = "how long to retry at voters, 1 to 600 s (${DEFAULT-VALUE})")
        private int seconds;

        @Override
        public Integer call() throws InterruptedException {
            return new ConfigRequests(spec.commandLine().getOut(), spec.commandLine().getErr()).apply(config, file, id, seconds);
        }
    }

    /** {@code config get}: shows one resource. */
    @Command(name = "get", description = "Shows a resource.", mixinStandardHelpOptions = true)
    static final class Get implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Parameters(index = "0", paramLabel = "KIND", description = "route, pool, tenant or host")
        private String kind;

        @Parameters(index = "1", paramLabel = "NAME", description = "name of the resource")
        private String name;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine")
        private Path config;

        @Override
        public Integer call() throws InterruptedException {
            return new ConfigRequests(spec.commandLine().getOut(), spec.commandLine().getErr()).get(config, kind, name);
        }
    }

    /** {@code config status}: shows the state of control machines and what is in force at gateways. */
    @Command(name = "status", description = "Shows the revisions of control machines, and what is in force at their gateways.", mixinStandardHelpOptions = true)
    static final class Status implements Callable<Integer> {

        @CommandLine.Spec
        private CommandLine.Model.CommandSpec spec;

        @Option(names = "--config", required = true, paramLabel = "FILE", description = "the file of a gateway or control machine")
        private Path config;

        @Override
        public Integer call() throws InterruptedException {
            return new ConfigRequests(spec.commandLine().getOut(), spec.commandLine().getErr()).status(config);
        }
    }
}
