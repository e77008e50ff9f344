/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;

/**
 * Adds the codec of peer connections to a pipeline: protobuf frames with a four-byte length prefix.
 */
final class PeerCodec
{
    private static final int MAX_FRAME_BYTES = 16 << 20;
    private static final int LENGTH_BYTES = 4;

    private PeerCodec()
    {
    }

    static void addTo(ChannelPipeline pipeline)
    {
        pipeline.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES),
                new LengthFieldPrepender(LENGTH_BYTES), new PeerFrameCodec());
    }
}
