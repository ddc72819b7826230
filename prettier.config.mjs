export default { singleQuote: true, arrowParens: 'avoid' };
