export default {
  // Paths on the command line replace the default ones.
  paths: process.argv.some(argument => argument.includes('.feature')) ? [] : ['features/**/*.feature'],
  import: ['dist/features/support/**/*.js', 'dist/features/steps/**/*.js'],
  format: ['./dist/features/support/plainSummary.js'],
  // Scenarios that KNOWN-RED.txt lists are left out; KNOWN_RED=1 runs them alone.
  tags: process.env.KNOWN_RED === undefined ? 'not @knownRed' : '@knownRed',
  strict: true
}
