/** A TCP relay between two processes, which can be cut and healed to simulate a network fault. */
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

/** A running relay. */
export type Relay = {
  readonly port: number;
  /** Ends all connections and refuses new ones until it is healed. */
  readonly cut: () => void;
  /** Accepts connections again. */
  readonly heal: () => void;
  readonly close: () => Promise<void>;
};

/**
 * Starts a relay on a free port of the loopback address.
 *
 * @param targetPort - The port on the loopback address to which connections are forwarded.
 * @returns The running relay.
 */
export const startRelay = async (targetPort: number): Promise<Relay> => {
  const sockets = new Set<Socket>();
  let isCut = false;

  const track = (socket: Socket, other: Socket): void => {
    sockets.add(socket);
    socket.on('error', () => other.destroy());
    socket.on('close', () => {
      sockets.delete(socket);
      other.destroy();
    });
  };

  const server = createServer((incoming) => {
    if (isCut) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(targetPort, '127.0.0.1');
    track(incoming, outgoing);
    track(outgoing, incoming);
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');

  const closeSockets = () => sockets.forEach((socket) => socket.destroy());
  return {
    port: (server.address() as AddressInfo).port,
    cut: () => {
      isCut = true;
      closeSockets();
    },
    heal: () => {
      isCut = false;
    },
    close: async () => {
      closeSockets();
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
};
