/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.concurrent.Future;

/**
 * Detects a connection that carries no more data although it is open. While calls are pending, it
 * sends keep-alive frames whenever nothing is received. A connection without pending calls is not
 * checked and costs nothing.
 */
final class KeepAliveHandler extends ChannelDuplexHandler
{
    /** An empty frame; the id 0 is not used by calls. */
    private static final Frame KEEP_ALIVE = Frame.getDefaultInstance();

    private final PeerTiming timing;
    private final BooleanSupplier hasPendingCalls;
    private final Runnable onSilent;
    private boolean checking;
    private boolean receivedSinceCheck;
    private int silentChecks;
    private volatile long receivedCount;

    /**
     * @param timing the time limits
     * @param hasPendingCalls returns whether calls wait for replies on the connection
     * @param onSilent called on the event loop when the connection is silent
     */
    KeepAliveHandler(PeerTiming timing, BooleanSupplier hasPendingCalls, Runnable onSilent)
    {
        this.timing = timing;
        this.hasPendingCalls = hasPendingCalls;
        this.onSilent = onSilent;
    }

    /**
     * Returns whether a frame is a keep-alive. A peer of an earlier version answers it with an error
     * reply, which shows just as well that the connection works.
     */
    static boolean isKeepAlive(Frame frame)
    {
        return frame.getCallId() == 0 && frame.getBodyCase() == Frame.BodyCase.BODY_NOT_SET;
    }

    /** Answers a keep-alive. */
    static void answer(ChannelHandlerContext ctx)
    {
        ChannelFuture unused = ctx.writeAndFlush(KEEP_ALIVE);
    }

    /** Returns how often data has been received. */
    long receivedCount()
    {
        return receivedCount;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object data)
    {
        receivedSinceCheck = true;
        receivedCount++;
        ctx.fireChannelRead(data);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object data, ChannelPromise promise)
    {
        scheduleCheck(ctx);
        ChannelFuture unused = ctx.write(data, promise);
    }

    private void scheduleCheck(ChannelHandlerContext ctx)
    {
        if (!checking)
        {
            checking = true;
            Future<?> unused = ctx.executor().schedule(() -> check(ctx), timing.checkMillis(),
                    TimeUnit.MILLISECONDS);
        }
    }

    /** Counts checks, not time, so that a pause of this process is not taken for silence. */
    private void check(ChannelHandlerContext ctx)
    {
        checking = false;
        silentChecks = receivedSinceCheck ? 0 : silentChecks + 1;
        receivedSinceCheck = false;
        if (!ctx.channel().isActive())
        {
            return;
        }
        if (silentChecks >= timing.maxSilentChecks())
        {
            onSilent.run();
        }
        else if (hasPendingCalls.getAsBoolean())
        {
            continueChecks(ctx);
        }
    }

    private void continueChecks(ChannelHandlerContext ctx)
    {
        scheduleCheck(ctx);
        if (silentChecks > 0)
        {
            ChannelFuture unused = ctx.channel().writeAndFlush(KEEP_ALIVE);
        }
    }
}
