/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.daemon;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.gaugehollow.model.GaugehollowException;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * Entry point of the command line: runs a subcommand and maps failures to a message and an exit
 * code.
 */
public final class Main
{
    @Parameter(names = "--help", help = true, description = "show help, or help on the preceding command")
    private boolean help;

    private final Map<String, Command> commands = new LinkedHashMap<>();
    private final JCommander parser;
    private final Console console;

    Main(Console console)
    {
        this.console = console;
        this.parser = JCommander.newBuilder().programName("gaugehollow").addObject(this).build();
        List<Command> commandList = List.of(new EntryCommand(), new LocalCommand(), new ApplyCommand(),
                new GetCommand(), new DeleteCommand(), new WatchCommand(), new SubmitCommand(),
                new TimelineCommand(), new LoadCommand(), new CheckSettingsCommand(),
                new PlatformStandinCommand(), new WorkerStandinCommand(), new VersionCommand());
        commandList.forEach(command ->
        {
            commands.put(command.name(), command);
            parser.addCommand(command.name(), command);
        });
    }

    /**
     * Runs one subcommand.
     *
     * @param args command line arguments
     * @throws InterruptedException if the thread is interrupted
     */
    public static void main(String[] args) throws InterruptedException
    {
        System.exit(new Main(new Console(System.out, System.err)).run(args).number());
    }

    ExitCode run(String[] args) throws InterruptedException
    {
        boolean helpRequested = args.length > 0 && "--help".equals(args[args.length - 1]);
        if (helpRequested || args.length == 0)
        {
            return showHelp(args);
        }
        try
        {
            parser.parse(args);
        }
        catch (ParameterException e)
        {
            console.printDiagnostic("gaugehollow: " + e.getMessage() + "; see gaugehollow --help");
            return ExitCode.USAGE;
        }
        if (parser.getParsedCommand() == null)
        {
            return showHelp(args);
        }
        return runCommand(commands.get(parser.getParsedCommand()));
    }

    private ExitCode runCommand(Command command) throws InterruptedException
    {
        try
        {
            return command.run(console);
        }
        catch (GaugehollowException e)
        {
            console.printDiagnostic(
                    "gaugehollow: " + e.code().number() + ' ' + e.code().name() + ": " + e.getMessage());
            return exitCodeOf(e);
        }
    }

    private static ExitCode exitCodeOf(GaugehollowException e)
    {
        return switch (e.code())
        {
            case SETTINGS_UNREADABLE, SETTINGS_UNKNOWN_KEY, SETTINGS_WRONG_TYPE, SETTINGS_MISSING,
                    SETTINGS_RANGE, RESOURCE_INVALID ->
                ExitCode.BAD_FILE;
            case ADDRESS_IN_USE -> ExitCode.ADDRESS_IN_USE;
            case PEER_UNREACHABLE, UPSTREAM_REFUSED, UPSTREAM_TIMEOUT, OUTCOME_UNKNOWN ->
                ExitCode.UNREACHABLE;
            case INTERNAL -> ExitCode.FAULT;
            default -> ExitCode.REFUSED;
        };
    }

    private ExitCode showHelp(String[] args)
    {
        StringBuilder text = new StringBuilder();
        if (args.length > 1 && commands.containsKey(args[0]))
        {
            parser.getUsageFormatter().usage(args[0], text);
            text.append("\nExamples:\n  ").append(commands.get(args[0]).examples().replace("\n", "\n  "));
            console.printLine(text.toString());
            return ExitCode.OK;
        }
        text.append(
                "gaugehollow COMMAND [options]   (gaugehollow COMMAND --help for one command)\n\nCommands:\n");
        commands.keySet().forEach(name -> text.append(
                String.format("  %-18s %s%n", name, parser.getUsageFormatter().getCommandDescription(name))));
        text.append("\nStart here:\n  gaugehollow local\n  gaugehollow submit lookup");
        console.printLine(text.toString());
        return args.length == 0 ? ExitCode.USAGE : ExitCode.OK;
    }
}
