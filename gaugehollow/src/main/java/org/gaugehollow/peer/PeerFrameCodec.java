/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.peer;

import java.util.List;

import org.gaugehollow.peer.generated.PeerProtocol.Frame;

import com.google.protobuf.InvalidProtocolBufferException;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.MessageToMessageCodec;

/**
 * Converts the bytes of a frame to its message and back. Netty's protobuf handlers require the full
 * protobuf runtime; the lite runtime used here needs less memory.
 */
final class PeerFrameCodec extends MessageToMessageCodec<ByteBuf, Frame>
{
    @Override
    protected void encode(ChannelHandlerContext ctx, Frame frame, List<Object> out)
    {
        out.add(Unpooled.wrappedBuffer(frame.toByteArray()));
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf bytes, List<Object> out)
            throws InvalidProtocolBufferException
    {
        out.add(Frame.parseFrom(ByteBufUtil.getBytes(bytes)));
    }
}
