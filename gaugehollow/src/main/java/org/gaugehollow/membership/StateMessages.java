/*
 * Licensed to the gaugehollow project under the Apache License, Version 2.0.
 * See the LICENSE file at the root of this repository for the full terms.
 */
package org.gaugehollow.membership;

import java.util.ArrayList;
import java.util.List;

import org.gaugehollow.config.ConfigDelta;
import org.gaugehollow.model.ConfigEntry;
import org.gaugehollow.peer.generated.PeerProtocol;
import org.gaugehollow.peer.generated.PeerProtocol.BoxStatus;
import org.gaugehollow.peer.generated.PeerProtocol.StateReply;

import com.google.protobuf.ByteString;

/** Translates between the configuration and the peers' messages. */
public final class StateMessages
{
    private StateMessages()
    {
    }

    /**
     * @param status what a peer says of itself
     * @return the newest answer of the store that it knows of
     */
    public static StoreLiveness.Contact contactOf(BoxStatus status)
    {
        return new StoreLiveness.Contact(status.getStoreEvidenceBox(), status.getStoreEvidenceNumber(),
                status.getStoreEvidenceAgeMillis());
    }

    /**
     * @param reply a peer's message
     * @return the delta in it
     */
    public static ConfigDelta deltaOf(StateReply reply)
    {
        List<ConfigEntry> entries = new ArrayList<>();
        for (PeerProtocol.ConfigEntry entry : reply.getConfigList())
        {
            entries.add(new ConfigEntry(entry.getName(), entry.getRevision(),
                    entry.getEnvelope().toByteArray(), entry.getDeleted()));
        }
        return new ConfigDelta(reply.getConfigRevision(), reply.getConfigFull(), entries);
    }

    /**
     * @param delta a delta
     * @return the message's beginning
     */
    public static StateReply.Builder replyOf(ConfigDelta delta)
    {
        StateReply.Builder reply = StateReply.newBuilder().setConfigRevision(delta.revision())
                .setConfigFull(delta.full());
        for (ConfigEntry entry : delta.entries())
        {
            reply.addConfig(
                    PeerProtocol.ConfigEntry.newBuilder().setName(entry.name()).setRevision(entry.revision())
                            .setEnvelope(ByteString.copyFrom(entry.envelope())).setDeleted(entry.deleted()));
        }
        return reply;
    }
}
