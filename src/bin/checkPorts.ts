/** Checks the ports named in the settings, so that a port in use is reported before anything is started. */
import { createServer } from 'node:net'
import { describeListenError, listListenAddresses } from '../settings/listenError.js'
import type { ListenAddress, SettingsSections } from '../settings/listenError.js'
import { createSettingsError } from '../settings/settingsError.js'

/** Opens and closes each port. Rejects with an error that names section and key of the first that cannot be opened. */
export async function checkPorts (file: string, settings: SettingsSections): Promise<void> {
  for (const listen of listListenAddresses(settings)) {
    try {
      await checkPort(listen)
    } catch (error) {
      throw createSettingsError(`${file}: ${describeListenError(settings, error as Error)}`)
    }
  }
}

async function checkPort ({ address, port }: ListenAddress): Promise<void> {
  const server = createServer()
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ host: address, port, exclusive: true }, resolve)
  })
  await new Promise(resolve => server.close(resolve))
}
